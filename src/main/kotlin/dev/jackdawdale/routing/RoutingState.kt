package dev.jackdawdale.routing

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event

/** @property dispatchValidMs a dispatch expires at the entry host this long after its decision */
internal data class RoutingSettings(val dispatchValidMs: Long = 2_000)

/** What routing remembers beside the replicated state. */
internal data class RoutingState(val settings: RoutingSettings)

/** Rebuilds the state for a new leader. */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun routingState(
    state: CellState,
    nowMs: Long,
    settings: RoutingSettings = RoutingSettings()
): RoutingState = RoutingState(settings)

/** The state after [event], which led from [before] to [after]. */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun RoutingState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): RoutingState = this
