package dev.jackdawdale.raft

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.HostId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap

/** Becomes a follower in [term], which is written to disk if it is new. */
internal fun StepScope.becomeFollower(term: Long, leader: ReplicaId?) {
    if (state.role == Role.LEADER) loseLeadership()
    if (term > state.term) {
        state = state.withTerm(term, nowMs)
        emit(RaftEffect.WriteVote(term, null))
    }
    state = state.copy(
        role = Role.FOLLOWER,
        leader = leader,
        votes = persistentSetOf()
    ).withElectionDue(nowMs)
}

private fun StepScope.loseLeadership() {
    state.reads.forEach { emit(RaftEffect.ReadFailed(it.readId)) }
    if (state.ready) emit(RaftEffect.LostLeadership(state.term))
    state = state.copy(
        ready = false,
        peers = persistentMapOf(),
        reads = persistentListOf(),
        transferTo = null
    )
}

/** Shortens the wait for a leader whose connection was closed to `disconnectedLeaderTimeoutMs`. */
internal fun StepScope.connectionEnded(hostId: HostId) {
    val leader = state.leader?.let { state.membership.member(it) }
    if (state.role != Role.FOLLOWER || leader?.hostId != hostId) return
    val remainingMs = state.settings.disconnectedLeaderTimeoutMs
    val heardMs = nowMs + remainingMs - state.electionTimeoutMs(nowMs)
    state = state.copy(leaderHeardMs = minOf(state.leaderHeardMs, heardMs))
        .withElectionDue(nowMs, remainingMs)
}

/** Starts a pre-vote; it changes no term, so it is retried after half an election timeout. */
internal fun StepScope.startPreVote() {
    val retryDelayMs = state.settings.electionTimeoutMs / 2
    state = state.copy(leader = null).withElectionDue(nowMs, retryDelayMs)
    if (!state.membership.isVoter(state.self)) return
    state = state.copy(role = Role.PRE_CANDIDATE, votes = persistentSetOf(state.self))
    sendToVoters { to ->
        PreVote(state.self, to, state.term + 1, state.log.lastIndex, state.log.lastTerm)
    }
    if (state.votes.size >= state.membership.quorum) startElection(transfer = false)
}

private inline fun StepScope.sendToVoters(message: (ReplicaId) -> ConsensusMessage) {
    for (voter in state.membership.voters) {
        if (voter.replicaId == state.self) continue
        send(voter.hostId, message(voter.replicaId), afterSync = true)
    }
}

/** Starts an election; the replica's own vote counts once it is synced to disk. */
private fun StepScope.startElection(transfer: Boolean) {
    state = state.withTerm(state.term + 1, nowMs).copy(
        role = Role.CANDIDATE,
        votedFor = state.self,
        leader = null,
        votes = persistentSetOf()
    ).withElectionDue(nowMs, state.settings.electionTimeoutMs)
    emit(RaftEffect.WriteVote(state.term, state.self))
    sendToVoters { to ->
        Vote(
            state.self,
            to,
            state.term,
            state.log.lastIndex,
            state.log.lastTerm,
            transfer
        )
    }
}

/** Whether a leader was heard from recently; vote and pre-vote requests are then refused. */
private fun StepScope.hasLiveLeader(): Boolean = when {
    state.role == Role.LEADER -> true
    state.leader == null -> false
    else -> nowMs - state.leaderHeardMs < state.electionTimeoutMs(nowMs)
}

private fun StepScope.isUpToDate(lastIndex: Long, lastTerm: Long): Boolean =
    lastTerm > state.log.lastTerm ||
        (lastTerm == state.log.lastTerm && lastIndex >= state.log.lastIndex)

internal fun StepScope.onPreVote(from: HostId, message: PreVote) {
    val granted = message.term > state.term &&
        !hasLiveLeader() &&
        isUpToDate(message.lastIndex, message.lastTerm)
    val term = if (granted) message.term else state.term
    send(from, PreVoteReply(state.self, message.from, term, granted), afterSync = true)
}

internal fun StepScope.onPreVoteReply(message: PreVoteReply) {
    if (!message.granted && message.term > state.term) {
        return becomeFollower(message.term, leader = null)
    }
    val counts = message.granted &&
        state.role == Role.PRE_CANDIDATE &&
        message.term == state.term + 1 &&
        state.membership.isVoter(message.from)
    if (!counts) return
    state = state.copy(votes = state.votes.add(message.from))
    if (state.votes.size >= state.membership.quorum) startElection(transfer = false)
}

/** Keeps a replica that was cut off from deposing a live leader by its greater term. */
internal fun StepScope.ignoresVote(message: Vote): Boolean =
    message.term > state.term && !message.transfer && hasLiveLeader()

internal fun StepScope.onVote(from: HostId, message: Vote) {
    val canVote = state.votedFor == null || state.votedFor == message.from
    val granted = canVote &&
        state.role != Role.LEADER &&
        isUpToDate(message.lastIndex, message.lastTerm)
    if (granted && state.votedFor == null) {
        state = state.copy(role = Role.FOLLOWER, votedFor = message.from).withElectionDue(nowMs)
        emit(RaftEffect.WriteVote(state.term, message.from))
    }
    val reply = VoteReply(state.self, message.from, state.term, granted)
    send(from, reply, afterSync = true)
}

internal fun StepScope.onVoteReply(message: VoteReply) {
    if (message.granted && state.role == Role.CANDIDATE) addVote(message.from)
}

internal fun StepScope.addVote(voter: ReplicaId) {
    if (!state.membership.isVoter(voter)) return
    state = state.copy(votes = state.votes.add(voter))
    if (state.votes.size >= state.membership.quorum) becomeLeader()
}

private fun StepScope.becomeLeader() {
    val next = state.lastIndex + 1
    val others = state.membership.members.filter { it.replicaId != state.self }
    state = state.copy(
        role = Role.LEADER,
        leader = state.self,
        termStartIndex = next,
        ready = false,
        readRound = 0,
        peers = others.associate {
            it.replicaId to Progress(nextIndex = next, lastHeardMs = nowMs)
        }.toPersistentMap(),
        heartbeatDueMs = nowMs
    )
    appendAsLeader(EntryKind.NO_OP, Blob(ByteArray(0)))
    leaderTick()
}

internal fun StepScope.onTimeoutNow() {
    if (state.role == Role.LEADER || !state.membership.isVoter(state.self)) return
    startElection(transfer = true)
}

internal fun StepScope.startTransfer() {
    val target = state.membership.voters
        .filter { it.replicaId != state.self }
        .maxByOrNull { state.peers[it.replicaId]?.matchIndex ?: 0 }
    if (state.role != Role.LEADER || target == null || state.transferTo != null) return
    state = state.copy(
        transferTo = target.replicaId,
        transferDueMs = nowMs + state.settings.electionTimeoutMs
    )
    continueTransfer()
}

/** Sends [TimeoutNow] once the target has the whole log; proposals are refused meanwhile. */
internal fun StepScope.continueTransfer() {
    val target = state.transferTo ?: return
    if (state.peers[target]?.matchIndex != state.lastIndex) return
    val host = state.membership.member(target)?.hostId ?: return
    send(host, TimeoutNow(state.self, target, state.term), afterSync = false)
}
