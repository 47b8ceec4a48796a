package dev.jackdawdale.raft

import dev.jackdawdale.model.HostId

/** The new state and the effects that the replica performs, in order. */
internal data class StepResult(val state: RaftState, val effects: List<RaftEffect>)

/** Collects the new state and the effects of one step. */
internal class StepScope(var state: RaftState, val nowMs: Long) {
    val effects = mutableListOf<RaftEffect>()

    fun emit(effect: RaftEffect) {
        effects += effect
    }

    fun send(to: HostId, message: ConsensusMessage, afterSync: Boolean) =
        emit(RaftEffect.Send(to, message, afterSync))
}

/** Advances the consensus core by one input; every input is valid in every state. */
internal fun step(state: RaftState, input: RaftInput, nowMs: Long): StepResult {
    val scope = StepScope(state, nowMs)
    when (input) {
        RaftInput.Tick -> scope.tick()
        is RaftInput.Receive -> scope.receive(input.from, input.message)
        is RaftInput.ConnectionEnded -> scope.connectionEnded(input.hostId)
        is RaftInput.Propose -> scope.propose(input.parts)
        is RaftInput.Persisted -> scope.persisted(input)
        is RaftInput.Read -> scope.read(input.readId)
        RaftInput.TransferLeadership -> scope.startTransfer()
        is RaftInput.ChangeMembers -> scope.changeMembers(input.change)
        is RaftInput.Join -> scope.join(input)
        is RaftInput.Leave -> scope.leave(input.replicaId)
        is RaftInput.Bootstrap -> scope.bootstrap(input.membership)
        is RaftInput.SnapshotTaken -> scope.snapshotTaken(input)
        is RaftInput.SnapshotInstalled -> scope.snapshotInstalled(input.meta)
    }
    return StepResult(scope.state, scope.effects)
}

private fun StepScope.tick() {
    if (state.role == Role.LEADER) {
        leaderTick()
    } else if (nowMs >= state.electionDueMs) {
        startPreVote()
    }
}

private fun StepScope.receive(from: HostId, message: ConsensusMessage) {
    if (message.to != state.self) return
    when (message) {
        is PreVote -> return onPreVote(from, message)
        is PreVoteReply -> return onPreVoteReply(message)
        is Vote -> if (ignoresVote(message)) return
        else -> Unit
    }
    if (message.term > state.term) becomeFollower(message.term, leader = null)
    if (message.term < state.term) return refuseStale(from, message)
    when (message) {
        is Vote -> onVote(from, message)
        is VoteReply -> onVoteReply(message)
        is Append -> onAppend(from, message)
        is AppendReply -> onAppendReply(message)
        is InstallSnapshot -> onInstallSnapshot(from, message)
        is InstallSnapshotReply -> onInstallSnapshotReply(message)
        is TimeoutNow -> onTimeoutNow()
        is PreVote, is PreVoteReply -> Unit
    }
}

/** Tells a sender with a lower term about the current one. */
private fun StepScope.refuseStale(from: HostId, message: ConsensusMessage) {
    val reply = when (message) {
        is Vote -> VoteReply(state.self, message.from, state.term, granted = false)

        is Append -> AppendReply(
            state.self,
            message.from,
            state.term,
            success = false,
            previousIndex = message.previousIndex,
            matchIndex = 0,
            readRound = 0
        )

        is InstallSnapshot -> InstallSnapshotReply(
            state.self,
            message.from,
            state.term,
            index = message.meta.index,
            nextOffset = 0,
            done = false,
            readRound = 0
        )

        else -> return
    }
    send(from, reply, afterSync = true)
}

private fun StepScope.persisted(input: RaftInput.Persisted) {
    val known = state.log.termAt(input.lastIndex) == input.lastTerm
    if (known && input.lastIndex > state.durableIndex) {
        state = state.copy(durableIndex = input.lastIndex)
    }
    if (state.role == Role.CANDIDATE && input.term == state.term) addVote(state.self)
    if (state.role == Role.LEADER) advanceCommit()
}
