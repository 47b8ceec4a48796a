package dev.jackdawdale.raft

import dev.jackdawdale.model.HostId

internal fun StepScope.onAppend(from: HostId, message: Append) {
    followLeader(message.from)
    if (state.incoming?.installing == true) return
    val previous = state.log.termAt(message.previousIndex)
    val matches = message.previousIndex < state.log.baseIndex || previous == message.previousTerm
    if (!matches) return replyAppend(from, message, success = false, retryIndex(message))
    val match = storeEntries(message.entries, message.previousIndex)
    commitThrough(minOf(message.commitIndex, match))
    replyAppend(from, message, success = true, match)
}

internal fun StepScope.followLeader(leader: ReplicaId) {
    check(state.role != Role.LEADER) { "two leaders in term ${state.term}: $leader and this one" }
    state = state.copy(
        role = Role.FOLLOWER,
        leader = leader,
        leaderHeardMs = nowMs
    ).withElectionDue(nowMs)
}

/** Appends new entries, replaces conflicting ones; returns the last index equal to the leader's. */
private fun StepScope.storeEntries(entries: List<Entry>, previousIndex: Long): Long {
    val match = maxOf(previousIndex + entries.size, state.log.baseIndex)
    val newEntries = entries.dropWhile { entry ->
        entry.index <= state.log.baseIndex || state.log.termAt(entry.index) == entry.term
    }
    if (newEntries.isEmpty()) return match
    val first = newEntries.first().index
    if (first <= state.lastIndex) {
        check(first > state.commitIndex) { "entry $first conflicts with a committed one" }
        val truncated = state.log.truncateFrom(first)
        state = state.copy(log = truncated, durableIndex = minOf(state.durableIndex, first - 1))
    }
    state = state.copy(log = state.log.append(newEntries))
    emit(RaftEffect.WriteEntries(newEntries))
    return match
}

/** The index to retry from; skips a whole conflicting term to save a round trip per entry. */
private fun StepScope.retryIndex(message: Append): Long {
    if (message.previousIndex > state.lastIndex) return state.lastIndex + 1
    val conflicting = state.log.termAt(message.previousIndex)
    var index = message.previousIndex
    while (index - 1 > state.commitIndex && state.log.termAt(index - 1) == conflicting) index--
    return index
}

private fun StepScope.replyAppend(from: HostId, message: Append, success: Boolean, match: Long) {
    val reply = AppendReply(
        from = state.self,
        to = message.from,
        term = state.term,
        success = success,
        previousIndex = message.previousIndex,
        matchIndex = match,
        readRound = message.readRound
    )
    send(from, reply, afterSync = true)
}
