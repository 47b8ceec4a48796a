package dev.jackdawdale.routing

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId

/**
 * The result of one routing pass.
 *
 * @property events events to append in order and to apply to [routing] by [observe]
 * @property routing the state with the effects of elapsed time, but not of [events]
 */
internal data class RouteDecision(val events: List<Event>, val routing: RoutingState)

/**
 * Places waiting requests on free slots and ends those past their deadline, with at most [limit]
 * events. The cost of a placement does not grow with the number of waiting requests.
 */
internal fun route(
    state: CellState,
    routing: RoutingState,
    liveEntryHosts: Set<HostId>,
    nowMs: Long,
    limit: Int
): RouteDecision {
    val hosts = state.entryHosts.values
        .filter { it.hostId in liveEntryHosts && !it.draining }
        .sortedBy { it.hostId.value }
    val pass = RoutePass(state, routing.advanced(nowMs), nowMs)
    while (pass.events.size < limit) {
        val overdue = pass.nextPastDeadline() ?: break
        pass.append(endPastDeadline(overdue))
    }
    if (hosts.isEmpty()) return RouteDecision(pass.events, pass.withoutEvents)
    for (name in routing.services.keys) {
        while (pass.events.size < limit) {
            val choice = pass.nextChoice(name) ?: break
            pass.append(placement(pass, choice, hosts, nowMs))
        }
    }
    return RouteDecision(pass.events, pass.withoutEvents)
}

private fun endPastDeadline(work: RequestWork): Event {
    val outcome = if (work.attempts == 0) {
        Outcome.DeadlineExceeded
    } else {
        Outcome.MayHaveRun("its deadline passed after an attempt that may have run")
    }
    return Event.RequestEnded(work.spec.workId, outcome)
}

private fun placement(pass: RoutePass, choice: Choice, hosts: List<EntryHost>, nowMs: Long): Event {
    val workId = choice.work.spec.workId
    val host = entryHostFor(choice.work, hosts)
    val validMs = pass.current.settings.dispatchValidMs
    return Event.RequestPlaced(
        workId = workId,
        endpointId = choice.endpointId,
        endpointIncarnation = choice.endpointIncarnation,
        entryHostId = host.hostId,
        entryIncarnation = host.incarnation,
        token = pass.state.nextToken,
        expiresAtMs = minOf(nowMs + validMs, choice.work.spec.deadlineMs)
    )
}

/** The entry host where the caller waits; if it is not live, one by hash of the work ID. */
private fun entryHostFor(work: RequestWork, hosts: List<EntryHost>): EntryHost =
    hosts.firstOrNull { it.hostId == work.entryHostId }
        ?: hosts[Math.floorMod(work.spec.workId.value.hashCode(), hosts.size)]

/** Why the request waits, for operators and callers, or null if it does not wait. */
internal fun waitingReason(
    state: CellState,
    routing: RoutingState,
    workId: WorkId,
    nowMs: Long
): String? {
    val work = state.requests[workId]?.takeIf { it.placement == null } ?: return null
    val known = routing.waiting[workId] ?: return "waits to be queued"
    val service = routing.service(work.spec.service)
    val customerId = work.spec.customerId
    val pool = service.pool
    val group = routing.groups[known.group]
    return when {
        work.notBeforeMs > nowMs ->
            "waits ${work.notBeforeMs - nowMs} ms until its next attempt"
        pool.activeCount == 0 -> "no active endpoint serves ${work.spec.service}"
        !routing.mayRun(customerId) ->
            "$customerId runs ${routing.running[customerId] ?: 0} requests, as many as its " +
                "contract allows (max_running_requests)"
        pool.healthySlots == 0 -> "every endpoint of ${work.spec.service} failed lately"
        known.status == WaitStatus.Late ->
            "by its measured run time it cannot meet its deadline; it waits for a spare slot"
        known.status is WaitStatus.Paused -> "every endpoint on which it did not fail is busy"
        group != null && group.size == SizeClass.LONG ->
            "waits for a slot for long work of ${work.spec.service}: ${pool.longRunning} of " +
                "${service.longLimit(routing.settings, nowMs)} are held"
        group != null && group.head(routing.settings) == null ->
            "the first requests of kind \"${work.spec.kind}\" are being measured"
        else -> "waits for a free slot of ${work.spec.service}"
    }
}
