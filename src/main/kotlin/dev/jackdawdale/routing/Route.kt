package dev.jackdawdale.routing

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.freeSlots

/**
 * The result of one pass.
 *
 * @property events to append in order, each passed to [observe] of [routing]
 * @property routing the state with the effects of time, without those of [events]
 */
internal data class RouteDecision(val events: List<Event>, val routing: RoutingState)

/** Places waiting requests on free slots and ends those past their deadline; at most [limit]. */
internal fun route(
    state: CellState,
    routing: RoutingState,
    liveEntryHosts: Set<HostId>,
    nowMs: Long,
    limit: Int
): RouteDecision {
    val events = mutableListOf<Event>()
    var current = state
    val waiting = state.requests.values
        .filter { it.placement == null && it.notBeforeMs <= nowMs }
        .sortedBy { it.spec.deadlineMs }
    for (work in waiting) {
        if (events.size >= limit) break
        val event = nextEvent(current, routing, work, liveEntryHosts, nowMs) ?: continue
        events += event
        current = current.apply(event, nowMs)
    }
    return RouteDecision(events, routing)
}

private fun nextEvent(
    state: CellState,
    routing: RoutingState,
    work: RequestWork,
    liveEntryHosts: Set<HostId>,
    nowMs: Long
): Event? {
    val workId = work.spec.workId
    if (work.spec.deadlineMs <= nowMs) {
        val outcome = if (work.attempts == 0) {
            Outcome.DeadlineExceeded
        } else {
            Outcome.MayHaveRun("its deadline passed after an attempt that may have run")
        }
        return Event.RequestEnded(workId, outcome)
    }
    val endpoint = state.endpoints.values
        .filter { it.info.service == work.spec.service && it.phase == EndpointPhase.ACTIVE }
        .filter { it.freeSlots > 0 && it.info.endpointId !in work.failedOn }
        .maxByOrNull { it.freeSlots } ?: return null
    val hosts = state.entryHosts.values.filter { it.hostId in liveEntryHosts && !it.draining }
    val host = hosts.firstOrNull { it.hostId == work.entryHostId } ?: hosts.firstOrNull()
    if (host == null) return null
    return Event.RequestPlaced(
        workId = workId,
        endpointId = endpoint.info.endpointId,
        endpointIncarnation = endpoint.info.incarnation,
        entryHostId = host.hostId,
        entryIncarnation = host.incarnation,
        token = state.nextToken,
        expiresAtMs = nowMs + routing.settings.dispatchValidMs
    )
}

/** Why the request waits, for operators and callers; null when it does not wait. */
internal fun waitingReason(
    state: CellState,
    routing: RoutingState,
    workId: WorkId,
    nowMs: Long
): String? {
    val work = state.requests[workId]?.takeIf { it.placement == null } ?: return null
    if (work.notBeforeMs > nowMs) return "waits ${work.notBeforeMs - nowMs} ms before a retry"
    return "waits for a free slot (${routing.settings.dispatchValidMs} ms)"
}
