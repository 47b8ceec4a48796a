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
 * Soft state of placement: indexes over the replicated state, and reservations. A new leader
 * rebuilds it from the replicated state.
 *
 * @property spread distribution of the tasks of each service job
 * @property preemptible resources counted per worker for preemptible tasks
 * @property withoutTimeLimit resources counted per worker for tasks without a time limit
 * @property needAfterOveruse need per task for the next placement of a job stopped for overuse
 * @property probes quarantined workers and their probes
 * @property freedCount number of changes that may have freed capacity for waiting work
 * @property blocked queues in which nothing could be placed
 * @property changeCount number of changes after which waiting work might start
 * @property idleChangeCount value of [changeCount] at the end of the last pass without events
 * @property idleUntilMs time until which passes are skipped while [changeCount] stays the same
 */
internal data class PlacementState(
    val settings: PlacementSettings = PlacementSettings(),
    val waiting: WaitingWork = WaitingWork(),
    val workers: WorkerIndex = WorkerIndex(),
    val use: PersistentMap<CustomerId, CustomerUse> = persistentHashMapOf(),
    val spread: PersistentMap<WorkId, JobSpread> = persistentHashMapOf(),
    val preemptible: PersistentMap<WorkerId, Resources> = persistentHashMapOf(),
    val withoutTimeLimit: PersistentMap<WorkerId, Resources> = persistentHashMapOf(),
    val reservations: Reservations = Reservations(),
    val needAfterOveruse: PersistentMap<WorkId, Resources> = persistentHashMapOf(),
    val probes: PersistentMap<WorkerId, Probe> = persistentHashMapOf(),
    val freedCount: Long = 0,
    val blocked: PersistentMap<QueueKey, BlockedQueue> = persistentHashMapOf(),
    val changeCount: Long = 0,
    val idleChangeCount: Long = -1,
    val idleUntilMs: Long = 0
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
            result = result.withTaskChange(job.spec, null, task, state, state)
            if (queued) result = result.copy(waiting = result.waiting.add(job.spec, task))
        }
    }
    return result
}

/** Key of the job's reservation unless it is for a preemption: the id of its first task. */
internal fun reservationKey(workId: WorkId): TaskId = taskId(workId, 0)

/** Updates the sums per customer and per worker after a task changed from [old] to [new]. */
internal fun PlacementState.withTaskChange(
    spec: JobSpec,
    old: Task?,
    new: Task?,
    before: CellState,
    after: CellState
): PlacementState {
    if (old?.placement == null && new?.placement == null) return this
    val without = (use[spec.customerId] ?: CustomerUse()).let { if (old != null) it - old else it }
    val updated = if (new != null) without + new else without
    val newSpread = if (spec.kind ==
        JobKind.SERVICE
    ) {
        spreadAfter(spec, old, new, before, after)
    } else {
        spread
    }
    return copy(
        use = use.put(spec.customerId, updated),
        spread = newSpread,
        preemptible = preemptible.recounted(old, new) { isPreemptible(spec, it) },
        withoutTimeLimit = withoutTimeLimit.recounted(old, new) { spec.timeLimitMs == null }
    )
}
