package dev.jackdawdale.model

import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.plus

internal fun CellState.applyRequestAccepted(event: Event.RequestAccepted, atMs: Long): CellState {
    val work = RequestWork(event.spec, event.contractVersion, atMs, event.entryHostId)
    return copy(requests = requests.put(event.spec.workId, work))
}

internal fun CellState.applyRequestPlaced(event: Event.RequestPlaced, atMs: Long): CellState {
    val work = requests[event.workId] ?: return this
    val placement = RequestPlacement(
        endpointId = event.endpointId,
        endpointIncarnation = event.endpointIncarnation,
        entryHostId = event.entryHostId,
        entryIncarnation = event.entryIncarnation,
        token = event.token,
        placedAtMs = atMs,
        expiresAtMs = event.expiresAtMs
    )
    val placed = work.copy(placement = placement, attempts = work.attempts + 1)
    return copy(
        requests = requests.put(event.workId, placed),
        nextToken = FencingToken(maxOf(nextToken.value, event.token.value + 1))
    ).occupySlot(event.endpointId, event.workId)
}

internal fun CellState.applyRequestNotSent(event: Event.RequestNotSent): CellState {
    val work = requests[event.workId] ?: return this
    val placement = work.placement
    if (placement == null || placement.token != event.token) return this
    val waiting = work.copy(placement = null, attempts = work.attempts - 1)
    return copy(requests = requests.put(event.workId, waiting))
        .releaseSlot(placement.endpointId, event.workId)
}

internal fun CellState.applyRequestRetried(event: Event.RequestRetried): CellState {
    val work = requests[event.workId] ?: return this
    val placement = work.placement
    if (placement == null || placement.token != event.token) return this
    val waiting = work.copy(
        placement = null,
        notBeforeMs = event.notBeforeMs,
        failedOn = work.failedOn + placement.endpointId
    )
    return copy(requests = requests.put(event.workId, waiting))
        .releaseSlot(placement.endpointId, event.workId)
}

internal fun CellState.applyRequestRehomed(event: Event.RequestRehomed): CellState {
    val work = requests[event.workId] ?: return this
    return copy(
        requests = requests.put(event.workId, work.copy(entryHostId = event.entryHostId))
    )
}

internal fun CellState.applyRequestEnded(event: Event.RequestEnded, atMs: Long): CellState {
    val work = requests[event.workId] ?: return this
    val endedWork = EndedWork(event.workId, event.outcome, nextRecordNumber, atMs)
    val ended = copy(
        requests = requests - event.workId,
        ended = ended.put(event.workId, endedWork),
        nextRecordNumber = nextRecordNumber + 1
    )
    val placement = work.placement ?: return ended
    return ended.releaseSlot(placement.endpointId, event.workId)
}

private fun CellState.occupySlot(endpointId: EndpointId, workId: WorkId): CellState {
    val endpoint = endpoints[endpointId] ?: return this
    val busier = endpoint.copy(inFlight = endpoint.inFlight + workId)
    return copy(endpoints = endpoints.put(endpointId, busier))
}

private fun CellState.releaseSlot(endpointId: EndpointId, workId: WorkId): CellState {
    val endpoint = endpoints[endpointId] ?: return this
    val idler = endpoint.copy(inFlight = endpoint.inFlight - workId)
    if (idler.phase == EndpointPhase.GONE && idler.inFlight.isEmpty()) {
        return copy(endpoints = endpoints - endpointId)
    }
    return copy(endpoints = endpoints.put(endpointId, idler))
}
