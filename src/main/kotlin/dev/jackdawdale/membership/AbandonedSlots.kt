package dev.jackdawdale.membership

import dev.jackdawdale.model.AbandonedSlot
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Endpoint
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken

/**
 * Time after an attempt is abandoned during which a report that it does not run is ignored: its
 * request may still be in transit.
 */
internal const val ABANDONED_IN_TRANSIT_MS = 2_000L

/** Frees slots of abandoned attempts past their deadline, by which endpoints abandon them. */
internal fun decideExpiredSlots(state: CellState, nowMs: Long): List<Event> =
    state.endpoints.values.mapNotNull { endpoint ->
        freedSlots(endpoint) { _, slot -> slot.untilMs <= nowMs }
    }

/** Frees slots of abandoned attempts that the endpoint does not report in [running]. */
internal fun decideReportedSlots(
    state: CellState,
    info: EndpointInfo,
    running: List<FencingToken>,
    nowMs: Long
): List<Event> {
    val endpoint = state.endpoints[info.endpointId] ?: return emptyList()
    if (endpoint.info.incarnation != info.incarnation) return emptyList()
    val event = freedSlots(endpoint) { token, slot ->
        token !in running && slot.sinceMs + ABANDONED_IN_TRANSIT_MS <= nowMs
    }
    return listOfNotNull(event)
}

private fun freedSlots(
    endpoint: Endpoint,
    isFree: (FencingToken, AbandonedSlot) -> Boolean
): Event.AbandonedSlotsFreed? {
    val tokens = endpoint.abandoned.filter { (token, slot) -> isFree(token, slot) }.keys.sorted()
    if (tokens.isEmpty()) return null
    return Event.AbandonedSlotsFreed(endpoint.info.endpointId, endpoint.info.incarnation, tokens)
}
