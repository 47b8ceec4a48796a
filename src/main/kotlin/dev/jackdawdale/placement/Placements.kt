package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event

/** Time after which a pass is repeated although nothing changed. */
private const val SETTLED_MS = 1_000L

/**
 * The result of one pass.
 *
 * @property events placements and stops, in order
 * @property placement soft state to keep; the caller still passes [events] to `observe`
 */
internal data class Placements(val events: List<Event>, val placement: PlacementState)

/**
 * Places waiting tasks on workers, at most about [limit] of them: a gang is never cut in two.
 * Work within guaranteed shares comes first, then urgent work, then the customer with the least
 * share of the cell by weight.
 */
internal fun place(
    state: CellState,
    placement: PlacementState,
    nowMs: Long,
    limit: Int
): Placements {
    val start = placement.releaseDelayed(state, nowMs)
    val settled = start.settledChanges == start.changes && nowMs < start.settledUntilMs
    if (settled) return Placements(emptyList(), start)
    val pass = PlacementPass(state, start, nowMs, limit)
    pass.run()
    val kept = start.copy(reservations = pass.reservations(), blocked = pass.blocked())
    val quiet = pass.events.isEmpty()
    val result = if (quiet) kept.settled(nowMs) else kept
    return Placements(pass.events, result)
}

private fun PlacementState.settled(nowMs: Long) =
    copy(settledChanges = changes, settledUntilMs = nowMs + SETTLED_MS)
