package dev.jackdawdale.raft

import dev.jackdawdale.model.Blob
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

internal fun StepScope.leaderTick() {
    val settings = state.settings
    if (nowMs - state.quorumHeardMs(nowMs) > state.electionTimeoutMs(nowMs)) {
        return becomeFollower(state.term, leader = null)
    }
    if (state.transferTo != null && nowMs >= state.transferDueMs) {
        state = state.copy(transferTo = null)
    }
    if (nowMs < state.heartbeatDueMs) return
    continueTransfer()
    state = state.copy(heartbeatDueMs = nowMs + settings.heartbeatMs)
    for (peer in state.peers.keys) {
        retryLostChunk(peer)
        if (!sendAppends(peer)) sendHeartbeat(peer)
    }
    removeSurplusMember()
    promoteLearner()
}

internal inline fun StepScope.updatePeer(id: ReplicaId, change: (Progress) -> Progress) {
    val peer = state.peers[id] ?: return
    state = state.copy(peers = state.peers.put(id, change(peer)))
}

internal fun StepScope.recordReply(id: ReplicaId, readRound: Long) = updatePeer(id) {
    it.copy(
        lastHeardMs = nowMs,
        hasAnswered = true,
        readRound = maxOf(it.readRound, readRound)
    )
}

internal fun StepScope.propose(parts: List<Blob>) {
    if (!state.ready || state.transferTo != null) {
        return emit(RaftEffect.Rejected(RejectReason.NOT_LEADER))
    }
    parts.dropLast(1).forEach { appendAsLeader(EntryKind.COMMAND_PART, it) }
    appendAsLeader(EntryKind.COMMAND, parts.last())
    emit(RaftEffect.Appended(state.lastIndex, state.term))
    replicate()
}

internal fun StepScope.appendAsLeader(kind: EntryKind, payload: Blob) {
    val entry = Entry(state.lastIndex + 1, state.term, kind, payload)
    state = state.copy(log = state.log.append(listOf(entry)))
    emit(RaftEffect.WriteEntries(listOf(entry)))
}

internal fun StepScope.replicate() = state.peers.keys.forEach { sendAppends(it) }

/** Sends missing entries as far as flow control allows; false when nothing was sent. */
internal fun StepScope.sendAppends(id: ReplicaId): Boolean {
    var sent = false
    while (true) {
        val peer = state.peers[id] ?: return sent
        when {
            peer.mode == Mode.SNAPSHOT ->
                return sent || (!peer.awaitingReply && sendSnapshotChunk(id))

            peer.nextIndex <= state.log.baseIndex -> return startSnapshot(id)

            peer.nextIndex > state.lastIndex -> return sent

            peer.mode == Mode.PROBE && peer.awaitingReply -> return sent

            !state.settings.maySend(peer) -> return sent
        }
        val entries = state.log.slice(peer.nextIndex, state.settings.maxAppendBytes)
        sendAppend(id, peer, entries)
        updatePeer(id) {
            if (it.mode == Mode.PROBE) {
                it.copy(awaitingReply = true)
            } else {
                val last = entries.last().index
                val added = InFlight(last, entries.sumOf { entry -> entry.sizeBytes })
                it.copy(nextIndex = last + 1, inFlight = it.inFlight.add(added))
            }
        }
        sent = true
    }
}

private fun RaftSettings.maySend(peer: Progress): Boolean =
    peer.inFlight.size < maxInFlightAppends &&
        peer.inFlight.sumOf { it.bytes } < maxInFlightBytes

/** Sends an empty append; a peer that lost appends refuses it for lack of the previous entry. */
internal fun StepScope.sendHeartbeat(id: ReplicaId) {
    val peer = state.peers[id] ?: return
    if (peer.mode == Mode.SNAPSHOT || peer.nextIndex <= state.log.baseIndex) return
    sendAppend(id, peer, emptyList())
}

private fun StepScope.sendAppend(id: ReplicaId, peer: Progress, entries: List<Entry>) {
    val host = state.membership.member(id)?.hostId ?: return
    val message = Append(
        from = state.self,
        to = id,
        term = state.term,
        previousIndex = peer.nextIndex - 1,
        previousTerm = checkNotNull(state.log.termAt(peer.nextIndex - 1)),
        entries = entries,
        commitIndex = state.commitIndex,
        readRound = state.readRound
    )
    send(host, message, afterSync = false)
}

internal fun StepScope.onAppendReply(message: AppendReply) {
    if (state.role != Role.LEADER || message.from !in state.peers) return
    recordReply(message.from, message.readRound)
    if (message.success) onMatch(message.from, message.matchIndex) else onMismatch(message)
    confirmReads()
    sendAppends(message.from)
}

internal fun StepScope.onMatch(id: ReplicaId, matchIndex: Long) {
    updatePeer(id) { peer ->
        if (peer.mode == Mode.SNAPSHOT && matchIndex < state.log.baseIndex) return@updatePeer peer
        val match = maxOf(peer.matchIndex, matchIndex)
        peer.copy(
            matchIndex = match,
            nextIndex = maxOf(peer.nextIndex, match + 1),
            mode = Mode.REPLICATE,
            awaitingReply = false,
            inFlight = peer.inFlight.filter { it.lastIndex > match }.toPersistentList()
        )
    }
    advanceCommit()
    continueTransfer()
}

private fun StepScope.onMismatch(message: AppendReply) = updatePeer(message.from) { peer ->
    // While probing for the common prefix, only a refusal of the current probe counts.
    val stale = message.previousIndex <= peer.matchIndex ||
        peer.mode == Mode.SNAPSHOT ||
        (peer.mode == Mode.PROBE && message.previousIndex != peer.nextIndex - 1)
    if (stale) {
        peer
    } else {
        val next = minOf(message.matchIndex, message.previousIndex)
        peer.copy(
            nextIndex = maxOf(peer.matchIndex + 1, next),
            mode = Mode.PROBE,
            awaitingReply = false,
            inFlight = persistentListOf()
        )
    }
}

/** Only entries of the leader's own term are committed by counting replicas. */
internal fun StepScope.advanceCommit() {
    val reached = state.quorumValue { id ->
        if (id == state.self) state.durableIndex else state.peers[id]?.matchIndex ?: 0
    }
    val index = minOf(reached, state.lastIndex)
    if (index <= state.commitIndex || index < state.termStartIndex) return
    commitThrough(index)
    if (!state.ready) {
        state = state.copy(ready = true)
        emit(RaftEffect.BecameLeader(state.term))
    }
    if (!state.membership.isVoter(state.self) && state.log.membershipIndex <= state.commitIndex) {
        becomeFollower(state.term, leader = null)
    }
}

internal fun StepScope.commitThrough(index: Long) {
    if (index <= state.commitIndex) return
    val entries = (state.commitIndex + 1..index).map { state.log.entry(it) }
    state = state.copy(commitIndex = index)
    emit(RaftEffect.Commit(entries))
}
