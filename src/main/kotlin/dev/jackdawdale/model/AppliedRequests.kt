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

internal fun CellState.applyRequestRetried(event: Event.RequestRetried, atMs: Long): CellState {
    val work = requests[event.workId] ?: return this
    val placement = work.placement
    if (placement == null || placement.token != event.token) return this
    val waiting = work.copy(
        placement = null,
        notBeforeMs = event.notBeforeMs,
        failedOn = work.failedOn + placement.endpointId
    )
    val withAbandoned = if (event.mayStillRun) abandonSlot(work, placement, atMs) else this
    return withAbandoned.copy(requests = requests.put(event.workId, waiting))
        .releaseSlot(placement.endpointId, event.workId)
}

internal fun CellState.applyRequestEntryHostChanged(
    event: Event.RequestEntryHostChanged
): CellState {
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
    val withAbandoned = if (event.mayStillRun) ended.abandonSlot(work, placement, atMs) else ended
    return withAbandoned.releaseSlot(placement.endpointId, event.workId)
}

/** Without a complete answer, the endpoint may still be running the attempt. */
private val Event.RequestEnded.mayStillRun: Boolean
    get() = answer == null &&
        when (val end = outcome) {
            is Outcome.MayHaveRun -> true
            is Outcome.Cancelled -> end.mayHaveRun
            else -> false
        }

/**
 * Counts the slot of an abandoned attempt as in use, unless the endpoint's process was replaced or
 * the request's deadline has passed.
 */
private fun CellState.abandonSlot(
    work: RequestWork,
    placement: RequestPlacement,
    atMs: Long
): CellState {
    val endpoint = endpoints[placement.endpointId] ?: return this
    val isSameProcess = endpoint.info.incarnation == placement.endpointIncarnation
    if (!isSameProcess || work.spec.deadlineMs <= atMs) return this
    val slot = AbandonedSlot(sinceMs = atMs, untilMs = work.spec.deadlineMs)
    val updated = endpoint.copy(abandoned = endpoint.abandoned.put(placement.token, slot))
    return copy(endpoints = endpoints.put(placement.endpointId, updated))
}

private fun CellState.occupySlot(endpointId: EndpointId, workId: WorkId): CellState {
    val endpoint = endpoints[endpointId] ?: return this
    val updated = endpoint.copy(inFlight = endpoint.inFlight + workId)
    return copy(endpoints = endpoints.put(endpointId, updated))
}

private fun CellState.releaseSlot(endpointId: EndpointId, workId: WorkId): CellState {
    val endpoint = endpoints[endpointId] ?: return this
    return withEndpoint(endpoint.copy(inFlight = endpoint.inFlight - workId))
}
