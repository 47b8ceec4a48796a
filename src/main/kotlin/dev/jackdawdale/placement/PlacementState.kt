package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.taskId
import dev.jackdawdale.model.tasksOf
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Soft state of placement: indexes over the replicated state, and reservations. It is rebuilt from
 * the replicated state by a new leader.
 *
 * @property spread where the tasks of each service job are
 * @property preemptible sum per worker of what batch tasks without urgency count for
 * @property lasting sum per worker of what tasks without a time limit count for
 * @property learned size for the next placement of jobs that were stopped for overuse
 * @property probes quarantined workers and their probes
 * @property freed number of changes that may have made room for work that found none
 * @property blocked queues in which nothing could be placed
 * @property changes number of changes that could let waiting work start
 * @property settledChanges value of [changes] at the end of the last pass that found nothing to do
 * @property settledUntilMs time until which such a pass need not be repeated
 */
internal data class PlacementState(
    val settings: PlacementSettings = PlacementSettings(),
    val waiting: WaitingWork = WaitingWork(),
    val workers: WorkerIndex = WorkerIndex(),
    val use: PersistentMap<CustomerId, CustomerUse> = persistentHashMapOf(),
    val spread: PersistentMap<WorkId, JobSpread> = persistentHashMapOf(),
    val preemptible: PersistentMap<WorkerId, Resources> = persistentHashMapOf(),
    val lasting: PersistentMap<WorkerId, Resources> = persistentHashMapOf(),
    val reservations: Reservations = Reservations(),
    val learned: PersistentMap<WorkId, Resources> = persistentHashMapOf(),
    val probes: PersistentMap<WorkerId, Probe> = persistentHashMapOf(),
    val freed: Long = 0,
    val blocked: PersistentMap<QueueKey, Blocked> = persistentHashMapOf(),
    val changes: Long = 0,
    val settledChanges: Long = -1,
    val settledUntilMs: Long = 0
)

/** Builds the placement state of a new leader from [state]. */
internal fun placementState(
    state: CellState,
    nowMs: Long,
    settings: PlacementSettings = PlacementSettings()
): PlacementState {
    var result = PlacementState(settings, waiting = WaitingWork(releasedSec = nowMs / 1_000))
    for (worker in state.workers.values) {
        result = result.copy(workers = result.workers.changed(null, worker))
        if (worker.phase == WorkerPhase.QUARANTINED) {
            val probe = Probe(nowMs + settings.probeAfterMs)
            result = result.copy(probes = result.probes.put(worker.info.workerId, probe))
        }
    }
    for (job in state.jobs.values.sortedBy { it.acceptedAtMs }) {
        for (task in state.tasksOf(job)) {
            val queued = !job.cancelRequested && task.phase == TaskPhase.WAITING
            result = result.held(job.spec, null, task, state, state)
            if (queued) result = result.copy(waiting = result.waiting.add(job.spec, task))
        }
    }
    return result
}

/** The id under which a reservation for the job [workId] is kept when it is a gang. */
internal fun gangKey(workId: WorkId): TaskId = taskId(workId, 0)

/** Updates what the customer and the workers hold when a task changes from [old] to [new]. */
internal fun PlacementState.held(
    spec: JobSpec,
    old: Task?,
    new: Task?,
    before: CellState,
    after: CellState
): PlacementState {
    if (old?.placement == null && new?.placement == null) return this
    val without = (use[spec.customerId] ?: CustomerUse()).let { if (old != null) it - old else it }
    val now = if (new != null) without + new else without
    val places = if (spec.kind ==
        JobKind.SERVICE
    ) {
        spreadAfter(spec, old, new, before, after)
    } else {
        spread
    }
    return copy(
        use = use.put(spec.customerId, now),
        spread = places,
        preemptible = preemptible.recounted(old, new) { isPreemptible(spec, it) },
        lasting = lasting.recounted(old, new) { spec.timeLimitMs == null }
    )
}
