package dev.jackdawdale.placement

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.plus
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Capacity kept for a job that fits nowhere now. It holds nothing: other work may use the capacity
 * as long as it surely ends before [startMs].
 *
 * @property taskId the task that waits, or the first waiting task of a gang
 * @property amounts capacity kept on each worker
 * @property startMs when the running work on these workers has ended at the latest
 * @property forPreemption tasks were told to stop for it
 */
internal data class Reservation(
    val workId: WorkId,
    val taskId: TaskId,
    val amounts: Map<WorkerId, Resources>,
    val startMs: Long,
    val forPreemption: Boolean
)

/** True when the reservation waits for room for one task. */
internal val Reservation.isSingle: Boolean get() = !forPreemption && amounts.size == 1

internal fun Reservation.total(): Resources =
    amounts.values.fold(Resources()) { sum, amount -> sum + amount }

/** All reservations, found by task and by worker. */
internal data class Reservations(
    val byTask: PersistentMap<TaskId, Reservation> = persistentHashMapOf(),
    val byWorker: PersistentMap<WorkerId, PersistentMap<TaskId, Reservation>> =
        persistentHashMapOf()
)

internal fun Reservations.add(reservation: Reservation): Reservations {
    val cleared = remove(reservation.taskId)
    return Reservations(
        byTask = cleared.byTask.put(reservation.taskId, reservation),
        byWorker = cleared.byWorker.mutate { all ->
            for (workerId in reservation.amounts.keys) {
                val present = all[workerId] ?: persistentHashMapOf()
                all[workerId] = present.put(reservation.taskId, reservation)
            }
        }
    )
}

internal fun Reservations.remove(taskId: TaskId): Reservations {
    val reservation = byTask[taskId] ?: return this
    return Reservations(
        byTask = byTask - taskId,
        byWorker = byWorker.mutate { all ->
            for (workerId in reservation.amounts.keys) {
                val rest = all[workerId]?.minus(taskId) ?: continue
                if (rest.isEmpty()) all.remove(workerId) else all[workerId] = rest
            }
        }
    )
}

internal fun Reservations.removeWorker(workerId: WorkerId): Reservations {
    val here = byWorker[workerId] ?: return this
    return here.keys.fold(this) { all, taskId -> all.remove(taskId) }
}

/**
 * What work of the job [workId] has to leave free on [workerId].
 *
 * @property endsByMs when the work has surely ended, or null when it has no time limit
 */
internal fun Reservations.keptFrom(workId: WorkId, workerId: WorkerId, endsByMs: Long?): Resources {
    val here = byWorker[workerId] ?: return Resources()
    var kept = Resources()
    for (reservation in here.values) {
        val backfills = endsByMs != null && endsByMs <= reservation.startMs
        if (reservation.workId == workId || backfills) continue
        kept += reservation.amounts.getValue(workerId)
    }
    return kept
}
