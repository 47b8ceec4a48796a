package dev.jackdawdale.routing

import dev.jackdawdale.estimates.runTimeKey
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Endpoint
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestPlacement
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.heldSlots

/** Applies [event], which changed the replicated state from [before] to [after]. */
internal fun RoutingState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): RoutingState = when (event) {
    is Event.RequestAccepted ->
        after.requests[event.spec.workId]?.let { enqueued(it, nowMs) } ?: this
    is Event.RequestPlaced -> requestPlaced(event.workId, before, after)
    is Event.RequestNotSent ->
        attemptEnded(event.workId, before, after, failureSignal(event.endpointFailed), nowMs)
    is Event.RequestRetried ->
        attemptEnded(event.workId, before, after, failureSignal(event.endpointFailed), nowMs)
    is Event.RequestEnded -> requestEnded(event, before, after, nowMs)
    is Event.ContractChanged -> withLimit(event.contract)
    is Event.EndpointJoined -> endpointChanged(event.info.endpointId, before, after)
    is Event.EndpointPhaseChanged -> endpointChanged(event.endpointId, before, after)
    is Event.AbandonedSlotsFreed -> endpointChanged(event.endpointId, before, after)
    else -> this
}

/** What the end of an attempt indicates about the health of its endpoint. */
private enum class HealthSignal { GOOD, BAD, NONE }

private fun failureSignal(endpointFailed: Boolean): HealthSignal =
    if (endpointFailed) HealthSignal.BAD else HealthSignal.NONE

private fun RoutingState.requestPlaced(
    workId: WorkId,
    before: CellState,
    after: CellState
): RoutingState {
    val work = after.requests[workId] ?: return this
    val placement = work.placement ?: return this
    val size = sizeOf(work.spec.runTimeKey)
    return dequeued(workId)
        .endpointChanged(placement.endpointId, before, after)
        .started(work, placement, size)
}

private fun RoutingState.attemptEnded(
    workId: WorkId,
    before: CellState,
    after: CellState,
    signal: HealthSignal,
    nowMs: Long
): RoutingState {
    val placement = before.requests[workId]?.placement ?: return this
    if (after.requests[workId]?.placement == placement) return this
    val released = stopped(workId, nowMs - placement.placedAtMs)
        .endpointChanged(placement.endpointId, before, after)
        .healthUpdated(placement, before, signal, nowMs)
    val work = after.requests[workId] ?: return released
    return released.enqueued(work, nowMs)
}

private fun RoutingState.requestEnded(
    event: Event.RequestEnded,
    before: CellState,
    after: CellState,
    nowMs: Long
): RoutingState {
    val work = before.requests[event.workId] ?: return this
    val placement = work.placement ?: return dequeued(event.workId)
    val signal = when {
        event.answer != null -> HealthSignal.GOOD
        event.outcome is Outcome.MayHaveRun -> HealthSignal.BAD
        else -> HealthSignal.NONE
    }
    val ended = attemptEnded(event.workId, before, after, signal, nowMs)
    val key = work.spec.runTimeKey
    // Failed runs often end early, so they count only until another run time is known.
    val counts = event.outcome == Outcome.Succeeded || runTimes.typicalMs(key) == null
    if (event.answer == null || !counts) return ended
    return ended.measured(key, nowMs - placement.placedAtMs)
}

private fun RoutingState.healthUpdated(
    placement: RequestPlacement,
    before: CellState,
    signal: HealthSignal,
    nowMs: Long
): RoutingState {
    val endpoint = before.endpoints[placement.endpointId] ?: return this
    // A result from an earlier process does not indicate the health of the current one.
    if (endpoint.info.incarnation != placement.endpointIncarnation) return this
    val name = endpoint.info.service
    val service = service(name)
    val pool = when (signal) {
        HealthSignal.GOOD -> service.pool.answered(placement.endpointId)
        HealthSignal.BAD ->
            service.pool.failed(placement.endpointId, placement.placedAtMs, nowMs, settings)
        HealthSignal.NONE -> service.pool
    }
    return withService(name, service.copy(pool = pool))
}

/** Updates the endpoint's load from the replicated state. */
internal fun RoutingState.endpointChanged(
    endpointId: EndpointId,
    before: CellState,
    after: CellState
): RoutingState {
    val old = before.endpoints[endpointId]
    val new = after.endpoints[endpointId]
    val moved = old != null && old.info.service != new?.info?.service
    val left = if (moved) withLoad(old.info.service, endpointId, null) else this
    if (new == null) return left
    val known = left.service(new.info.service).pool.loads[endpointId]
    return left.withLoad(new.info.service, endpointId, loadOf(new, known))
}

private fun RoutingState.withLoad(
    name: ServiceName,
    endpointId: EndpointId,
    load: EndpointLoad?
): RoutingState {
    val service = service(name)
    return withService(name, service.copy(pool = service.pool.withLoad(endpointId, load)))
}

private fun loadOf(endpoint: Endpoint, known: EndpointLoad?): EndpointLoad {
    val info = endpoint.info
    val fresh = EndpointLoad(
        endpointId = info.endpointId,
        incarnation = info.incarnation,
        active = endpoint.phase == EndpointPhase.ACTIVE,
        capacity = minOf(info.slots, info.connections),
        inFlight = endpoint.heldSlots,
        longRunning = known?.longRunning ?: 0,
        lastUsed = known?.lastUsed ?: 0
    )
    if (known == null || known.incarnation != info.incarnation) return fresh
    return fresh.copy(
        failures = known.failures,
        lastFailureMs = known.lastFailureMs,
        retryAtMs = known.retryAtMs,
        probing = known.probing
    )
}
