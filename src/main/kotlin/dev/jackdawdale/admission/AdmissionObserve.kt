package dev.jackdawdale.admission

import dev.jackdawdale.estimates.runTimeKey
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId

/** The admission state after [event], which changed the cell from [before] to [after]. */
internal fun AdmissionState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): AdmissionState = when (event) {
    is Event.RequestAccepted -> {
        val spent = spendToken(after.contracts[event.spec.customerId], nowMs)
        spent.requestChanged(event.spec.workId, before, after)
    }
    is Event.RequestPlaced -> requestChanged(event.workId, before, after)
    is Event.RequestNotSent -> requestChanged(event.workId, before, after)
    is Event.RequestRetried -> requestChanged(event.workId, before, after)
    is Event.RequestEnded -> recordRunTime(
        event,
        before,
        nowMs
    ).requestChanged(event.workId, before, after)
    is Event.EndpointJoined -> endpointChanged(event.info.endpointId, before, after)
    is Event.EndpointPhaseChanged -> endpointChanged(event.endpointId, before, after)
    is Event.AbandonedSlotsFreed -> endpointChanged(event.endpointId, before, after)
    is Event.ContractChanged -> contractChanged(event.contract, nowMs)
    is Event.JobAccepted ->
        unplacedChanged(event.spec.customerId, event.spec.workId, event.spec.taskCount)
    is Event.JobEnded -> jobEnded(event.workId, before)
    is Event.TaskPlaced -> taskChanged(event.taskId, before, after)
    is Event.TaskEnded -> taskChanged(event.taskId, before, after)
    is Event.TaskLost -> taskChanged(event.taskId, before, after)
    else -> this
}

private fun AdmissionState.spendToken(contract: Contract?, nowMs: Long): AdmissionState {
    if (contract == null) return this
    val bucket = buckets[contract.customerId] ?: fullBucket(contract, nowMs)
    return withBucket(contract.customerId, bucket.refilled(contract, nowMs).takeOne())
}

private fun AdmissionState.contractChanged(contract: Contract, nowMs: Long): AdmissionState {
    if (contract.customerId in buckets) return this
    return withBucket(contract.customerId, fullBucket(contract, nowMs))
}

private fun AdmissionState.requestChanged(
    workId: WorkId,
    before: CellState,
    after: CellState
): AdmissionState {
    val old = before.requests[workId]
    val new = after.requests[workId]
    val counted = when {
        old == null && new == null -> this
        // Removing and re-adding a request that stays waiting would change its place in the queue.
        old != null && new != null && (old.placement == null) == (new.placement == null) -> this
        else -> {
            val without = if (old == null) this else withRequestCounted(after, old, -1)
            if (new == null) without else without.withRequestCounted(after, new, 1)
        }
    }
    val endpointId = (old?.placement ?: new?.placement)?.endpointId ?: return counted
    return counted.endpointChanged(endpointId, before, after)
}

private fun AdmissionState.endpointChanged(
    endpointId: EndpointId,
    before: CellState,
    after: CellState
): AdmissionState {
    val old = before.endpoints[endpointId]
    val new = after.endpoints[endpointId]
    val without = if (old == null) this else slotsChanged(old.info.service, -usableSlots(old))
    return if (new == null) without else without.slotsChanged(new.info.service, usableSlots(new))
}

private fun AdmissionState.recordRunTime(
    event: Event.RequestEnded,
    before: CellState,
    nowMs: Long
): AdmissionState {
    val work = before.requests[event.workId] ?: return this
    val placement = work.placement ?: return this
    if (event.answer == null) return this
    val measured = runTimes.withRun(work.spec.runTimeKey, nowMs - placement.placedAtMs)
    return copy(runTimes = measured)
}

private fun AdmissionState.taskChanged(
    taskId: TaskId,
    before: CellState,
    after: CellState
): AdmissionState {
    val old = before.tasks[taskId] ?: return this
    val new = after.tasks[taskId] ?: return this
    val job = after.jobs[new.workId] ?: return this
    val waitingBefore = if (old.phase == TaskPhase.WAITING) 1 else 0
    val waitingAfter = if (new.phase == TaskPhase.WAITING) 1 else 0
    return unplacedChanged(job.spec.customerId, new.workId, waitingAfter - waitingBefore)
}

private fun AdmissionState.jobEnded(workId: WorkId, before: CellState): AdmissionState {
    val job = before.jobs[workId] ?: return this
    val unplaced = unplacedTasks[workId] ?: return this
    return unplacedChanged(job.spec.customerId, workId, -unplaced)
}
