package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.taskId
import dev.jackdawdale.model.tasksOf
import kotlinx.collections.immutable.minus

/** The placement state after [event], which changed the cell from [before] to [after]. */
internal fun PlacementState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): PlacementState = when (event) {
    is Event.JobAccepted -> observeJobAccepted(event.spec, after)
    is Event.JobEnded -> observeJobEnded(event.workId, before, after)
    is Event.TaskPlaced -> observeTask(event.taskId, before, after, nowMs)
    is Event.TaskStarted -> observeTask(event.taskId, before, after, nowMs)
    is Event.TaskStopRequested -> observeTask(event.taskId, before, after, nowMs)
    is Event.TaskAllocationChanged -> observeTask(event.taskId, before, after, nowMs)
    is Event.TaskLost -> observeTask(event.taskId, before, after, nowMs)
        .observeProbeEnd(event.taskId, before, nowMs, hasFailed = false)
    is Event.TaskEnded -> observeTask(event.taskId, before, after, nowMs)
        .observeProbeEnd(event.taskId, before, nowMs, event.result == TaskResult.FAILED)
    is Event.CancelRequested -> observeCancel(event.workId, after)
    is Event.WorkerJoined -> observeWorker(event.info.workerId, before, after, nowMs)
    is Event.WorkerPhaseChanged -> observeWorker(event.workerId, before, after, nowMs)
    is Event.ContractChanged -> capacityFreed()
    else -> this
}

private fun PlacementState.observeJobAccepted(spec: JobSpec, after: CellState): PlacementState {
    val job = after.jobs[spec.workId] ?: return this
    val queued = after.tasksOf(job).fold(waiting) { all, task -> all.add(spec, task) }
    return copy(waiting = queued).queued(spec)
}

private fun PlacementState.observeJobEnded(
    workId: WorkId,
    before: CellState,
    after: CellState
): PlacementState {
    val job = before.jobs[workId] ?: return this
    val spec = job.spec
    val released = before.tasksOf(job).fold(this) { state, task ->
        state.withTaskChange(spec, task, null, before, after)
            .reindexed(task.placement?.workerId, before, after)
            .copy(reservations = state.reservations.remove(task.taskId))
    }
    return released.copy(
        waiting = released.waiting.removeJob(spec),
        spread = released.spread - workId,
        needAfterOveruse = released.needAfterOveruse - workId
    ).capacityFreed()
}

private fun PlacementState.observeCancel(workId: WorkId, after: CellState): PlacementState {
    val job = after.jobs[workId] ?: return this
    val cleared = after.tasksOf(job).fold(reservations) { all, task -> all.remove(task.taskId) }
    return copy(waiting = waiting.removeJob(job.spec), reservations = cleared).capacityFreed()
}

private fun PlacementState.observeTask(
    taskId: TaskId,
    before: CellState,
    after: CellState,
    nowMs: Long
): PlacementState {
    val old = before.tasks[taskId] ?: return this
    val new = after.tasks[taskId] ?: return this
    if (old == new) return this
    val job = after.jobs[new.workId] ?: return this
    val newWaiting = waitingAfter(job.spec, old, new, job.cancelRequested)
    val frees = old.placement != null && old.placement.counted != new.placement?.counted
    val placedNow = old.placement == null && new.placement != null
    var result = withTaskChange(job.spec, old, new, before, after).copy(
        waiting = newWaiting,
        reservations = if (placedNow) reservations.remove(taskId) else reservations
    )
    result = result.reindexed(old.placement?.workerId, before, after)
    if (new.placement?.workerId != old.placement?.workerId) {
        result = result.reindexed(new.placement?.workerId, before, after)
    }
    if (frees) result = result.capacityFreed()
    if (new.phase == TaskPhase.WAITING) result = result.queued(job.spec)
    return result.observeProbeOrOveruse(old, new, placedNow, nowMs)
}

private fun PlacementState.waitingAfter(
    spec: JobSpec,
    old: Task,
    new: Task,
    cancelled: Boolean
): WaitingWork {
    val waited = old.phase == TaskPhase.WAITING
    val waits = new.phase == TaskPhase.WAITING
    return when {
        waited && !waits -> waiting.remove(spec, old)
        waits && !waited && !cancelled -> waiting.add(spec, new)
        else -> waiting
    }
}

/**
 * Records a placed probe, or the job's next need after a stop for overuse. The amount counted for
 * the stopped task was capped, so the next placement asks for 1.5 times as much.
 */
private fun PlacementState.observeProbeOrOveruse(
    old: Task,
    new: Task,
    placedNow: Boolean,
    nowMs: Long
): PlacementState {
    val workerId = new.placement?.workerId
    if (placedNow && workerId != null) {
        val probe = probes[workerId] ?: return this
        return copy(probes = probes.put(workerId, probe.copy(taskId = new.taskId, atMs = nowMs)))
    }
    val ended = old.placement?.takeIf { new.placement == null } ?: return this
    if (ended.stopReason != StopReason.OVERUSE) return this
    val raised = ended.counted.let { Resources(it.cpuMillis * 3 / 2, it.memoryMib * 3 / 2) }
        .copy(accelerators = ended.counted.accelerators)
    val bounded = workers.cappedToLargest(raised)
    return copy(needAfterOveruse = needAfterOveruse.put(new.workId, bounded))
}

private fun PlacementState.reindexed(
    workerId: WorkerId?,
    before: CellState,
    after: CellState
): PlacementState {
    if (workerId == null) return this
    return copy(workers = workers.changed(before.workers[workerId], after.workers[workerId]))
}

private fun PlacementState.observeWorker(
    workerId: WorkerId,
    before: CellState,
    after: CellState,
    nowMs: Long
): PlacementState {
    val phase = after.workers[workerId]?.phase
    val kept = if (phase ==
        WorkerPhase.ACTIVE
    ) {
        reservations
    } else {
        reservations.removeWorker(workerId)
    }
    val probing = when {
        phase != WorkerPhase.QUARANTINED -> probes - workerId
        workerId in probes -> probes
        else -> probes.put(workerId, Probe(nowMs + settings.probeAfterMs))
    }
    return reindexed(workerId, before, after)
        .copy(reservations = kept, probes = probing)
        .capacityFreed()
}

private fun PlacementState.observeProbeEnd(
    taskId: TaskId,
    before: CellState,
    nowMs: Long,
    hasFailed: Boolean
): PlacementState {
    val workerId = before.tasks[taskId]?.placement?.workerId ?: return this
    val probe = probes[workerId] ?: return this
    if (probe.taskId != taskId) return this
    return copy(probes = probes.put(workerId, probe.ended(hasFailed, nowMs, settings)))
}

/** Moves tasks whose retry back-off has ended into the queues. */
internal fun PlacementState.releaseDelayed(state: CellState, nowMs: Long): PlacementState {
    val (rest, due) = waiting.takeDue(nowMs)
    if (rest === waiting) return this
    var result = copy(waiting = rest)
    for (task in due.mapNotNull { state.tasks[it] }) {
        val job = state.jobs[task.workId] ?: continue
        if (task.phase == TaskPhase.WAITING && !job.cancelRequested) {
            result = result.copy(waiting = result.waiting.add(job.spec, task)).queued(job.spec)
        }
    }
    return result
}

private fun PlacementState.capacityFreed() =
    copy(freedCount = freedCount + 1, changeCount = changeCount + 1)

private fun PlacementState.queued(spec: JobSpec) =
    copy(blocked = blocked - spec.queueKey(), changeCount = changeCount + 1)
