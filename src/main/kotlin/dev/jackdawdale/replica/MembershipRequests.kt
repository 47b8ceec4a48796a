package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.Departure
import dev.jackdawdale.raft.Hello
import dev.jackdawdale.raft.HelloReply
import dev.jackdawdale.raft.Leave
import dev.jackdawdale.raft.LeaveReply
import dev.jackdawdale.raft.RaftInput
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.Role
import dev.jackdawdale.raft.departureOf
import dev.jackdawdale.raft.hasSurplusMember
import dev.jackdawdale.raft.isBlank
import dev.jackdawdale.raft.member
import dev.jackdawdale.raft.membership

/**
 * The requests of replicas to join and to leave, and the start of the first membership.
 *
 * @param state the current state of the consensus core
 * @param run performs one step of the consensus core
 */
internal class MembershipRequests(
    private val settings: ReplicaSettings,
    private val state: () -> RaftState,
    private val run: (RaftInput) -> Unit,
    private val send: (HostId, RaftMessage) -> Unit
) {
    private val bootstrap = CellBootstrap(settings.hostId, settings.hosts)
    private var helloDueMs = 0L
    private var leaveDueMs = 0L
    private var isLeaving = false
    private var onDeparture: ((Departure) -> Unit)? = null

    fun tick(nowMs: Long) {
        if (!isLeaving) joinOrFormCell(nowMs)
        if (onDeparture != null && nowMs >= leaveDueMs) {
            leaveDueMs = nowMs + settings.leaveEveryMs
            askToLeave()
        }
    }

    /**
     * Asks to leave and no longer to join; calls [onResult] once the leader has decided. Without a
     * surplus there is nothing to decide, and a cell that is stopped as a whole has no leader.
     */
    fun leave(nowMs: Long, onResult: (Departure) -> Unit) {
        isLeaving = true
        if (!state().hasSurplusMember) return onResult(Departure.KEPT)
        onDeparture = onResult
        tick(nowMs)
    }

    fun onHello(from: HostId, message: Hello) {
        val reply =
            HelloReply(
                state().self,
                settings.hostId,
                state().isBlank,
                settings.mayFormCell,
                leaderHost()
            )
        send(from, reply)
        val mayJoin = settings.allowUnlistedHosts ||
            from in settings.hosts ||
            state().membership.members.any { it.hostId == from }
        if (state().ready && mayJoin) run(RaftInput.Join(message.from, from))
    }

    fun onHelloReply(message: HelloReply, nowMs: Long) = bootstrap.onReply(message, nowMs)

    fun onLeave(from: HostId, message: Leave) {
        if (!state().ready) return
        run(RaftInput.Leave(message.from))
        send(from, LeaveReply(state().self, state().departureOf(message.from)))
    }

    fun onLeaveReply(message: LeaveReply) = decided(message.departure)

    /**
     * Asks to join, or forms the first membership, while no leader is heard from. A member asks as
     * well: it may have been removed while it was cut off.
     */
    private fun joinOrFormCell(nowMs: Long) {
        val state = state()
        val hasLiveLeader = nowMs - state.leaderHeardMs < settings.raft.electionTimeoutMs
        if (hasLiveLeader || state.role == Role.LEADER) return
        val mayForm = state.isBlank && settings.mayFormCell
        val first = if (mayForm) bootstrap.firstMembership(state.self, nowMs) else null
        if (first != null) {
            run(RaftInput.Bootstrap(first))
        } else if (nowMs >= helloDueMs) {
            helloDueMs = nowMs + settings.helloEveryMs
            (bootstrap.hostsToAsk + otherMembers()).forEach {
                send(it, Hello(state.self, settings.hostId))
            }
        }
    }

    /**
     * Asks the leader, or all members while none is known. A leader transfers its leadership: once
     * it had removed itself, it could not tell the others what is committed.
     */
    private fun askToLeave() {
        if (state().ready) {
            run(RaftInput.TransferLeadership)
            return decided(state().departureOf(state().self))
        }
        val asked = leaderHost()?.let(::listOf) ?: otherMembers()
        asked.forEach { send(it, Leave(state().self)) }
    }

    private fun decided(departure: Departure) {
        if (departure == Departure.PENDING) return
        onDeparture?.invoke(departure)
        onDeparture = null
    }

    private fun otherMembers(): List<HostId> =
        state().membership.members.map { it.hostId } - settings.hostId

    private fun leaderHost(): HostId? =
        state().leader?.let { state().membership.member(it)?.hostId }
}
