package dev.jackdawdale.bench

import dev.jackdawdale.admission.AdmissionDecision
import dev.jackdawdale.admission.AdmissionSettings
import dev.jackdawdale.admission.AdmissionState
import dev.jackdawdale.admission.admissionState
import dev.jackdawdale.admission.decideRequest
import dev.jackdawdale.admission.observe
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.apply
import dev.jackdawdale.recovery.AttemptRecoverySettings
import dev.jackdawdale.recovery.AttemptRecoveryState
import dev.jackdawdale.recovery.attemptRecoveryState
import dev.jackdawdale.recovery.decideAttempt
import dev.jackdawdale.recovery.observe
import dev.jackdawdale.routing.RouteDecision
import dev.jackdawdale.routing.RoutingSettings
import dev.jackdawdale.routing.RoutingState
import dev.jackdawdale.routing.observe
import dev.jackdawdale.routing.route
import dev.jackdawdale.routing.routingState

/**
 * A cell's replicated state and the soft states of the request decisions. Direct calls take the
 * place of a leader's control thread.
 */
internal class RequestCell(
    var nowMs: Long = 0,
    private val routingSettings: RoutingSettings = RoutingSettings(),
    private val admissionSettings: AdmissionSettings = AdmissionSettings(),
    private val recoverySettings: AttemptRecoverySettings = AttemptRecoverySettings()
) {
    var state: CellState = CellState()
        private set
    var admission: AdmissionState = admissionState(state, nowMs, admissionSettings)
        private set
    var routing: RoutingState = routingState(state, nowMs, routingSettings)
        private set
    var recovery: AttemptRecoveryState = attemptRecoveryState(state, nowMs, recoverySettings)
        private set

    fun append(event: Event) {
        val before = state
        val after = before.apply(event, nowMs)
        admission = admission.observe(event, before, after, nowMs)
        routing = routing.observe(event, before, after, nowMs)
        recovery = recovery.observe(event, before, after, nowMs)
        state = after
    }

    fun append(events: List<Event>) = events.forEach(::append)

    fun submit(spec: RequestSpec, entryHostId: HostId): AdmissionDecision {
        val decision = decideRequest(state, admission, spec, entryHostId, nowMs)
        if (decision is AdmissionDecision.Admitted) append(decision.events)
        return decision
    }

    /** Runs one routing pass and returns its events. */
    fun routeOnce(
        live: Set<HostId> = state.entryHosts.keys,
        limit: Int = Int.MAX_VALUE
    ): List<Event> = applyRouting(route(state, routing, live, nowMs, limit))

    /** Applies the state and the events of a routing decision; returns the events. */
    fun applyRouting(decision: RouteDecision): List<Event> {
        routing = decision.routing
        append(decision.events)
        return decision.events
    }

    /** Applies the end of an attempt and returns the resulting events. */
    fun finish(workId: WorkId, token: FencingToken, result: AttemptResult): List<Event> {
        val events = decideAttempt(state, recovery, workId, token, result, nowMs)
        append(events)
        return events
    }

    /** Simulates a new leader: rebuilds the soft states from the replicated state. */
    fun changeLeader() {
        admission = admissionState(state, nowMs, admissionSettings)
        routing = routingState(state, nowMs, routingSettings)
        recovery = attemptRecoveryState(state, nowMs, recoverySettings)
    }
}
