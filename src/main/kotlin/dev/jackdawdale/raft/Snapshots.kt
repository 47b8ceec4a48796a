package dev.jackdawdale.raft

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.emptyBlob
import kotlinx.collections.immutable.persistentListOf

internal fun StepScope.startSnapshot(id: ReplicaId): Boolean {
    updatePeer(id) {
        it.copy(
            mode = Mode.SNAPSHOT,
            awaitingReply = false,
            inFlight = persistentListOf(),
            snapshotIndex = state.log.snapshot.index,
            snapshotOffset = 0
        )
    }
    return sendSnapshotChunk(id)
}

/** Allows a chunk to be resent after an election timeout; until then the peer may just be slow. */
internal fun StepScope.retryLostChunk(id: ReplicaId) = updatePeer(id) {
    val lost = it.mode == Mode.SNAPSHOT &&
        nowMs - it.chunkSentMs >= state.settings.electionTimeoutMs
    if (lost) it.copy(awaitingReply = false) else it
}

/** Sends the next chunk; at most one is in flight per peer. */
internal fun StepScope.sendSnapshotChunk(id: ReplicaId): Boolean {
    val peer = state.peers[id] ?: return false
    val host = state.membership.member(id)?.hostId ?: return false
    val snapshot = state.log.snapshot
    if (peer.snapshotIndex != snapshot.index) return startSnapshot(id)
    val template = InstallSnapshot(
        from = state.self,
        to = id,
        term = state.term,
        meta = snapshot,
        offset = peer.snapshotOffset,
        totalBytes = 0,
        data = emptyBlob,
        readRound = state.readRound
    )
    emit(RaftEffect.SendSnapshot(host, template))
    updatePeer(id) { it.copy(awaitingReply = true, chunkSentMs = nowMs) }
    return true
}

internal fun StepScope.onInstallSnapshotReply(message: InstallSnapshotReply) {
    if (state.role != Role.LEADER || message.from !in state.peers) return
    recordReply(message.from, message.readRound)
    confirmReads()
    if (message.done) {
        onMatch(message.from, message.index)
    } else {
        updatePeer(message.from) {
            val current = it.mode == Mode.SNAPSHOT && it.snapshotIndex == message.index
            // A repeated reply must not start a second stream of chunks.
            val repeated = it.snapshotOffset == message.nextOffset
            if (!current || repeated) return@updatePeer it
            it.copy(snapshotOffset = message.nextOffset, awaitingReply = false)
        }
    }
    sendAppends(message.from)
}

internal fun StepScope.onInstallSnapshot(from: HostId, message: InstallSnapshot) {
    followLeader(message.from)
    val meta = message.meta
    // Keeps the entries after the snapshot: a leader may have counted them towards a quorum.
    if (state.log.termAt(meta.index) == meta.term) commitThrough(meta.index)
    if (meta.index <= state.commitIndex) {
        return replySnapshot(from, message, message.offset, done = true)
    }
    val incoming = state.incoming
    if (incoming?.installing == true) return
    val expected = if (incoming?.meta == meta) incoming.nextOffset else 0
    if (message.offset != expected) return replySnapshot(from, message, expected, done = false)
    emit(RaftEffect.StoreChunk(message))
    val next = expected + message.data.sizeBytes
    val complete = next >= message.totalBytes
    state = state.copy(incoming = IncomingSnapshot(meta, next, installing = complete))
    if (complete) {
        emit(RaftEffect.Install(meta))
    } else {
        replySnapshot(from, message, next, done = false)
    }
}

private fun StepScope.replySnapshot(
    from: HostId,
    message: InstallSnapshot,
    nextOffset: Long,
    done: Boolean
) {
    val reply = InstallSnapshotReply(
        from = state.self,
        to = message.from,
        term = state.term,
        index = message.meta.index,
        nextOffset = nextOffset,
        done = done,
        readRound = message.readRound
    )
    send(from, reply, afterSync = true)
}

internal fun StepScope.snapshotInstalled(meta: SnapshotMeta) {
    state = state.copy(
        log = RaftLog(meta),
        incoming = null,
        durableIndex = meta.index,
        commitIndex = meta.index
    )
    val leader = state.leader ?: return
    val host = meta.membership.member(leader)?.hostId ?: return
    val reply = InstallSnapshotReply(
        from = state.self,
        to = leader,
        term = state.term,
        index = meta.index,
        nextOffset = 0,
        done = true,
        readRound = 0
    )
    send(host, reply, afterSync = true)
}

internal fun StepScope.snapshotTaken(input: RaftInput.SnapshotTaken) {
    if (input.meta.index <= state.log.snapshot.index) return
    state = state.copy(log = state.log.compact(input.meta, input.dropThrough))
}
