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
 * Capacity reserved for a job that does not fit now. It is not counted as held: other work may use
 * it (backfill) if the time limit of that work ends by [startMs].
 *
 * @property taskId key of the reservation: the waiting task of a preemption, or [reservationKey]
 * @property amounts capacity reserved on each worker
 * @property startMs latest end of the tasks that it waits for; for a preemption, when it was made
 * @property forPreemption whether tasks are being preempted for it
 */
internal data class Reservation(
    val workId: WorkId,
    val taskId: TaskId,
    val amounts: Map<WorkerId, Resources>,
    val startMs: Long,
    val forPreemption: Boolean
)

/** True when the reservation is on one worker only and not for a preemption. */
internal val Reservation.isSingle: Boolean get() = !forPreemption && amounts.size == 1

internal fun Reservation.total(): Resources =
    amounts.values.fold(Resources()) { sum, amount -> sum + amount }

/** All reservations, indexed by task and by worker. */
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
    val onWorker = byWorker[workerId] ?: return this
    return onWorker.keys.fold(this) { all, taskId -> all.remove(taskId) }
}

/**
 * Capacity on [workerId] that is reserved for jobs other than [workId].
 *
 * @param endsByMs latest end of the work to place, or null without a time limit; reservations that
 * start at that time or later are left out
 */
internal fun Reservations.reservedForOthers(
    workId: WorkId,
    workerId: WorkerId,
    endsByMs: Long?
): Resources {
    val onWorker = byWorker[workerId] ?: return Resources()
    var reserved = Resources()
    for (reservation in onWorker.values) {
        val backfills = endsByMs != null && endsByMs <= reservation.startMs
        if (reservation.workId == workId || backfills) continue
        reserved += reservation.amounts.getValue(workerId)
    }
    return reserved
}
