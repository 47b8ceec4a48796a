package dev.jackdawdale.raft

import dev.jackdawdale.model.Blob

internal fun StepScope.bootstrap(membership: Membership) {
    if (!state.isBlank) return
    state = state.copy(term = 1)
    emit(RaftEffect.WriteVote(1, null))
    appendAsLeader(EntryKind.MEMBERS, Blob(membership.encode()))
    startPreVote()
}

internal fun StepScope.changeMembers(change: MemberChange) {
    val next = state.membership.after(change)
    val reason = when {
        !state.ready -> RejectReason.NOT_LEADER
        state.log.membershipIndex > state.commitIndex -> RejectReason.CHANGE_IN_PROGRESS
        next == null -> RejectReason.DOES_NOT_FIT
        else -> null
    }
    if (reason != null || next == null) {
        return emit(RaftEffect.Rejected(reason ?: RejectReason.DOES_NOT_FIT))
    }
    appendAsLeader(EntryKind.MEMBERS, Blob(next.encode()))
    emit(RaftEffect.Appended(state.lastIndex, state.term))
    var peers = state.peers
    for (member in next.members) {
        if (member.replicaId == state.self || member.replicaId in peers) continue
        val progress = Progress(nextIndex = state.lastIndex + 1, lastHeardMs = nowMs)
        peers = peers.put(member.replicaId, progress)
    }
    for (id in peers.keys) if (next.member(id) == null) peers = peers.remove(id)
    state = state.copy(peers = peers)
    replicate()
    advanceCommit()
}

/**
 * Makes the next change for a joining replica: removes the old replica of the same host, then
 * adds the new one as a learner. The joining replica retries until it is a member.
 */
internal fun StepScope.join(input: RaftInput.Join) {
    if (!state.ready || state.membership.member(input.replicaId) != null) return
    val old = state.membership.members.find { it.hostId == input.hostId }
    if (old == null) {
        return changeMembers(MemberChange.AddLearner(input.replicaId, input.hostId))
    }
    // If the old replica still answers, a second process runs on the same host.
    val heardMs = state.peers[old.replicaId]?.lastHeardMs ?: return
    if (nowMs - heardMs < state.settings.electionTimeoutMs) return
    if (!keepsQuorumSize(old.replicaId)) return
    changeMembers(MemberChange.Remove(old.replicaId))
}

/** What becomes of a member that announced its stop, as far as a replica knows. */
internal enum class Departure {
    /** It is no member any more, and the removal is committed. */
    REMOVED,

    /** The cell has no more members than it needs: it stays a member and may come back. */
    KEPT,

    /** Not decided, or decided and not committed; until then its vote may be needed. */
    PENDING
}

/** What becomes of the member [id] when it stops; only a leader decides that. */
internal fun RaftState.departureOf(id: ReplicaId): Departure = when {
    !ready || log.membershipIndex > commitIndex -> Departure.PENDING
    membership.member(id) == null -> Departure.REMOVED
    hasSurplusMember -> Departure.PENDING
    else -> Departure.KEPT
}

/**
 * Removes a stopping member while there are more than `targetMembers`. It may have a successor, and
 * a quorum that still counts it bears one loss less once it is gone. If it only restarts, it joins
 * again.
 */
internal fun StepScope.leave(id: ReplicaId) {
    if (!state.ready || !state.hasSurplusMember || state.membership.member(id) == null) return
    if (id == state.self || !keepsQuorumSize(id)) return
    changeMembers(MemberChange.Remove(id))
}

/** Whether there are more members than `targetMembers`, as while a host is replaced. */
internal val RaftState.hasSurplusMember: Boolean
    get() = settings.targetMembers.let { it != null && membership.members.size > it }

/** Removes the member silent for longest while there are more than `targetMembers`. */
internal fun StepScope.removeSurplusMember() {
    if (!state.ready || !state.hasSurplusMember) return
    if (state.log.membershipIndex > state.commitIndex) return
    val silent = state.membership.members
        .filter { it.replicaId != state.self && isSilent(it) && keepsQuorumSize(it.replicaId) }
        .minByOrNull { state.peers[it.replicaId]?.lastHeardMs ?: NEVER_MS } ?: return
    changeMembers(MemberChange.Remove(silent.replicaId))
}

/**
 * Whether [member] may be gone. A voter that has never answered this leader may have been silent
 * long before its election, and the quorum counts it, so the leader waits only for a timeout. A
 * learner may be silent while it installs a snapshot.
 */
private fun StepScope.isSilent(member: Member): Boolean {
    val peer = state.peers[member.replicaId] ?: return false
    val limitMs = if (member.voter && !peer.hasAnswered) {
        state.electionTimeoutMs(nowMs)
    } else {
        state.settings.replaceAfterMs
    }
    return nowMs - peer.lastHeardMs > limitMs
}

/**
 * Whether the quorum without [id] is as large as that of `targetMembers` voters. A smaller quorum
 * would commit on fewer disks than may be lost, so the next removal waits for a promotion.
 */
private fun StepScope.keepsQuorumSize(id: ReplicaId): Boolean {
    val target = state.settings.targetMembers ?: return true
    val voters = state.membership.voters.count { it.replicaId != id }
    return voters / 2 >= target / 2
}

internal fun StepScope.promoteLearner() {
    if (!state.ready || state.log.membershipIndex > state.commitIndex) return
    val learner = state.membership.members.find { !it.voter && isCaughtUp(it.replicaId) } ?: return
    changeMembers(MemberChange.Promote(learner.replicaId))
}

private fun StepScope.isCaughtUp(id: ReplicaId): Boolean {
    val peer = state.peers[id] ?: return false
    return peer.mode == Mode.REPLICATE &&
        peer.matchIndex + state.settings.promoteWithinEntries >= state.lastIndex &&
        nowMs - peer.lastHeardMs < state.settings.electionTimeoutMs
}
