package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event

/** Time after which a pass is repeated although nothing changed. */
private const val IDLE_RETRY_MS = 1_000L

/**
 * The result of one pass.
 *
 * @property events placements and stops, in order
 * @property placement soft state after the pass; the caller still passes [events] to `observe`
 */
internal data class PlacementResult(val events: List<Event>, val placement: PlacementState)

/**
 * Places waiting tasks on workers until there are [limit] events; the last gang is still placed
 * whole. Work within a guaranteed share comes first, then more urgent work, then work of the
 * customer with the smallest dominant share by weight.
 */
internal fun place(
    state: CellState,
    placement: PlacementState,
    nowMs: Long,
    limit: Int
): PlacementResult {
    val start = placement.releaseDelayed(state, nowMs)
    val idle = start.idleChangeCount == start.changeCount && nowMs < start.idleUntilMs
    if (idle) return PlacementResult(emptyList(), start)
    val pass = PlacementPass(state, start, nowMs, limit)
    pass.run()
    val kept = start.copy(reservations = pass.reservations(), blocked = pass.blocked())
    val noEvents = pass.events.isEmpty()
    val result = if (noEvents) kept.idleFrom(nowMs) else kept
    return PlacementResult(pass.events, result)
}

private fun PlacementState.idleFrom(nowMs: Long) =
    copy(idleChangeCount = changeCount, idleUntilMs = nowMs + IDLE_RETRY_MS)
