package dev.jackdawdale.control

import dev.jackdawdale.membership.decideExpiredSlots
import dev.jackdawdale.membership.decideSilentEndpoints
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.placement.place
import dev.jackdawdale.recovery.decideAttempt
import dev.jackdawdale.recovery.decideEntryHostLost
import dev.jackdawdale.recovery.decideSession
import dev.jackdawdale.recovery.decideTick
import dev.jackdawdale.routing.route
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.EntryMessage

/** Places waiting requests and tasks, at most [limit] of each kind. */
internal fun Pass.schedule(dispatchable: Set<HostId>, limit: Int) {
    val routed = route(state, soft.routing, dispatchable, nowMs, limit)
    replaceRouting(routed.routing)
    emitAll(routed.events)
    val placed = place(state, soft.placement, nowMs, limit)
    replacePlacement(placed.placement)
    emitAll(placed.events)
}

/** Applies the result of an attempt; a late result of an abandoned attempt is ignored. */
internal fun Pass.finishAttempt(session: ControlSession, message: EntryMessage.AttemptFinished) {
    emitAll(
        decideAttempt(
            state,
            soft.attempts,
            message.workId,
            message.token,
            message.result,
            nowMs
        )
    )
    val acknowledged = ControlMessage.AttemptAcknowledged(message.workId, message.token)
    whenDurable { session.link.send(acknowledged) }
}

/** Reconciles the attempts placed on the entry host with those it holds, then adds the host. */
internal fun Pass.joinEntryHost(message: EntryMessage.SessionOpen) {
    emitAll(
        decideSession(
            state,
            soft.attempts,
            message.hostId,
            message.incarnation,
            message.held,
            nowMs
        )
    )
    val host = EntryHost(
        message.hostId,
        message.incarnation,
        message.failureDomain,
        message.draining
    )
    if (state.entryHosts[message.hostId] != host) emit(Event.EntryHostJoined(host))
}

/** Handles silent entry hosts and endpoints, and expired slots of abandoned attempts. */
internal fun Pass.tickMembers(
    leading: Leadership,
    sessions: ControlSessions,
    settings: ControlSettings
) {
    sessions.silentSince(nowMs - settings.sessionTimeoutMs).forEach { hostId ->
        removeEntryHost(hostId)
        sessions.forget(hostId)
    }
    val cutoffMs = nowMs - settings.endpointTimeoutMs
    emitAll(decideSilentEndpoints(state, leading.endpointHeardMs, cutoffMs))
    emitAll(decideExpiredSlots(state, nowMs))
}

private fun Pass.removeEntryHost(hostId: HostId) {
    val host = state.entryHosts[hostId] ?: return
    emitAll(decideEntryHostLost(state, soft.attempts, hostId, host.incarnation, nowMs))
    emit(Event.EntryHostLeft(hostId, host.incarnation))
}

/** Handles expired leases and time limits, failing workers and ended jobs. */
internal fun Pass.tickTasks() {
    val decision = decideTick(state, soft.tasks, nowMs)
    replaceTasks(decision.recovery)
    emitAll(decision.events)
}
