package dev.jackdawdale.membership

import dev.jackdawdale.model.AbandonedSlot
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Endpoint
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken

/**
 * Bytes of an attempt that was given up may still be on their way to the endpoint, so a report
 * that it does not run is believed only this long after.
 */
internal const val ABANDONED_SETTLE_MS = 2_000L

/** Frees slots of abandoned attempts past their deadline: an endpoint gives them up by then. */
internal fun decideExpiredSlots(state: CellState, nowMs: Long): List<Event> =
    state.endpoints.values.mapNotNull { endpoint ->
        freed(endpoint) { _, slot -> slot.untilMs <= nowMs }
    }

/** Frees slots of abandoned attempts that are not among the [running] ones of the endpoint. */
internal fun decideReportedSlots(
    state: CellState,
    info: EndpointInfo,
    running: List<FencingToken>,
    nowMs: Long
): List<Event> {
    val endpoint = state.endpoints[info.endpointId] ?: return emptyList()
    if (endpoint.info.incarnation != info.incarnation) return emptyList()
    val event = freed(endpoint) { token, slot ->
        token !in running && slot.sinceMs + ABANDONED_SETTLE_MS <= nowMs
    }
    return listOfNotNull(event)
}

private fun freed(
    endpoint: Endpoint,
    isFree: (FencingToken, AbandonedSlot) -> Boolean
): Event.AbandonedSlotsFreed? {
    val tokens = endpoint.abandoned.filter { (token, slot) -> isFree(token, slot) }.keys.sorted()
    if (tokens.isEmpty()) return null
    return Event.AbandonedSlotsFreed(endpoint.info.endpointId, endpoint.info.incarnation, tokens)
}
