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

/** Places waiting requests and tasks, at most [limit] of each. */
internal fun Pass.schedule(dispatchable: Set<HostId>, limit: Int) {
    val routed = route(state, soft.routing, dispatchable, nowMs, limit)
    replaceRouting(routed.routing)
    emitAll(routed.events)
    val placed = place(state, soft.placement, nowMs, limit)
    replacePlacement(placed.placement)
    emitAll(placed.events)
}

/** Takes the result of an attempt; a late result of an abandoned attempt changes nothing. */
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

/** Settles the attempts that the entry host held before this session, then lets it join. */
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

/** Decides about entry hosts and endpoints that went silent. */
internal fun Pass.tickMembers(
    leading: Leadership,
    sessions: ControlSessions,
    settings: ControlSettings
) {
    sessions.silentSince(nowMs - settings.sessionTimeoutMs).forEach { hostId ->
        loseEntryHost(hostId)
        sessions.forget(hostId)
    }
    val heardBeforeMs = nowMs - settings.endpointTimeoutMs
    emitAll(decideSilentEndpoints(state, leading.endpointHeardMs, heardBeforeMs))
    emitAll(decideExpiredSlots(state, nowMs))
}

private fun Pass.loseEntryHost(hostId: HostId) {
    val host = state.entryHosts[hostId] ?: return
    emitAll(decideEntryHostLost(state, soft.attempts, hostId, host.incarnation, nowMs))
    emit(Event.EntryHostLeft(hostId, host.incarnation))
}

/** Decides about leases, time limits, failing workers and ended jobs. */
internal fun Pass.tickTasks() {
    val decision = decideTick(state, soft.tasks, nowMs)
    replaceTasks(decision.recovery)
    emitAll(decision.events)
}
