package dev.jackdawdale.model

import dev.jackdawdale.staged.apply
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.plus

/** The state after a batch of events and the records that the batch completed, in order. */
data class ApplyResult(val state: CellState, val records: List<WorkRecord>)

/** Applies all events of [batch] in order. */
fun CellState.apply(batch: EventBatch): ApplyResult {
    val records = mutableListOf<WorkRecord>()
    var state = this
    for (event in batch.events) {
        state.recordCompletedBy(event, batch.atMs)?.let(records::add)
        state = state.apply(event, batch.atMs)
    }
    return ApplyResult(state.copy(lastBatchMs = batch.atMs), records)
}

/**
 * Applies one event. An event for an item that no longer exists, or for an outdated fencing token,
 * changes nothing.
 */
fun CellState.apply(event: Event, atMs: Long): CellState = when (event) {
    is Event.RequestAccepted -> applyRequestAccepted(event, atMs)
    is Event.RequestPlaced -> applyRequestPlaced(event, atMs)
    is Event.RequestNotSent -> applyRequestNotSent(event)
    is Event.RequestRetried -> applyRequestRetried(event, atMs)
    is Event.RequestEntryHostChanged -> applyRequestEntryHostChanged(event)
    is Event.RequestEnded -> applyRequestEnded(event, atMs)
    is Event.JobAccepted -> applyJobAccepted(event, atMs)
    is Event.JobEnded -> applyJobEnded(event, atMs)
    is Event.TaskPlaced -> applyTaskPlaced(event, atMs)
    is Event.TaskStarted -> applyTaskStarted(event, atMs)
    is Event.TaskStopRequested -> applyTaskStopRequested(event)
    is Event.TaskAllocationChanged -> applyTaskAllocationChanged(event)
    is Event.TaskEnded -> applyTaskEnded(event, atMs)
    is Event.TaskLost -> applyTaskLost(event, atMs)
    is Event.CancelRequested -> applyCancelRequested(event)
    is Event.ContractChanged -> applyContractChanged(event, atMs)
    is Event.EndpointJoined -> applyEndpointJoined(event)
    is Event.EndpointPhaseChanged -> applyEndpointPhaseChanged(event)
    is Event.AbandonedSlotsFreed -> applyAbandonedSlotsFreed(event)
    is Event.WorkerJoined -> applyWorkerJoined(event)
    is Event.WorkerPhaseChanged -> applyWorkerPhaseChanged(event)
    is Event.EntryHostJoined -> copy(entryHosts = entryHosts.put(event.host.hostId, event.host))
    is Event.EntryHostLeft -> applyEntryHostLeft(event)
    is Event.Staged -> copy(staged = staged.apply(event.event, atMs))
    is Event.DedupWindowMoved -> applyDedupWindowMoved(event)
}

private fun CellState.applyEntryHostLeft(event: Event.EntryHostLeft): CellState {
    val host = entryHosts[event.hostId]
    if (host == null || host.incarnation != event.incarnation) return this
    return copy(entryHosts = entryHosts - event.hostId)
}

private fun CellState.applyContractChanged(event: Event.ContractChanged, atMs: Long): CellState {
    val contract = event.contract
    val change = AppliedChange(event.changeId, contract.customerId, contract.version, atMs)
    return copy(
        contracts = contracts.put(contract.customerId, contract),
        changes = changes.put(event.changeId, change),
        lastChanges = lastChanges.put(contract.customerId, event.changeId)
    )
}

private fun CellState.applyDedupWindowMoved(event: Event.DedupWindowMoved): CellState {
    val endedIds = ended.values.takeWhile { it.endedAtMs < event.keepFromMs }.map { it.workId }
    val changeIds = changes.values.takeWhile { it.atMs < event.keepFromMs }.map { it.changeId }
    return copy(ended = ended - endedIds, changes = changes - changeIds)
}
