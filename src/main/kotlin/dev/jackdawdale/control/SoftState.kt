package dev.jackdawdale.control

import dev.jackdawdale.admission.AdmissionState
import dev.jackdawdale.admission.admissionState
import dev.jackdawdale.admission.observe
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.placement.PlacementState
import dev.jackdawdale.placement.observe
import dev.jackdawdale.placement.placementState
import dev.jackdawdale.recovery.AttemptRecoveryState
import dev.jackdawdale.recovery.TaskRecoverySettings
import dev.jackdawdale.recovery.TaskRecoveryState
import dev.jackdawdale.recovery.attemptRecoveryState
import dev.jackdawdale.recovery.observe
import dev.jackdawdale.recovery.taskRecoveryState
import dev.jackdawdale.routing.RoutingState
import dev.jackdawdale.routing.observe
import dev.jackdawdale.routing.routingState

/** State that only the leader keeps: estimates, leases, budgets and queue indexes. */
internal data class SoftState(
    val admission: AdmissionState,
    val routing: RoutingState,
    val attempts: AttemptRecoveryState,
    val placement: PlacementState,
    val tasks: TaskRecoveryState
)

/** Rebuilds the soft state for a new leader; all leases count as renewed at [nowMs]. */
internal fun softState(state: CellState, nowMs: Long, settings: ControlSettings): SoftState =
    SoftState(
        admission = admissionState(state, nowMs),
        routing = routingState(state, nowMs),
        attempts = attemptRecoveryState(state, nowMs),
        placement = placementState(state, nowMs),
        tasks = taskRecoveryState(state, nowMs, settings.taskRecoverySettings())
    )

private fun ControlSettings.taskRecoverySettings() = TaskRecoverySettings(
    leaseMs = leaseMs,
    leaseMarginMs = leaseMarginMs,
    dedupWindowMs = dedupWindowMs
)

internal fun SoftState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): SoftState = SoftState(
    admission = admission.observe(event, before, after, nowMs),
    routing = routing.observe(event, before, after, nowMs),
    attempts = attempts.observe(event, before, after, nowMs),
    placement = placement.observe(event, before, after, nowMs),
    tasks = tasks.observe(event, before, after, nowMs)
)
