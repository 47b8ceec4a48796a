package dev.jackdawdale.raft

import kotlinx.collections.immutable.toPersistentList

/** Starts a read, which completes once a quorum confirms the leader after this call. */
internal fun StepScope.read(readId: Long) {
    if (!state.ready) return emit(RaftEffect.ReadFailed(readId))
    val roundInFlight = state.reads.any { it.round <= state.readRound }
    val read = PendingRead(readId, state.readRound + 1, state.commitIndex)
    state = state.copy(reads = state.reads.add(read))
    if (!roundInFlight) startReadRound()
}

/** Starts a round of heartbeats; reads requested during a round share the next one. */
private fun StepScope.startReadRound() {
    state = state.copy(readRound = state.readRound + 1)
    state.peers.keys.forEach { sendHeartbeat(it) }
    confirmReads()
}

internal fun StepScope.confirmReads() {
    if (state.reads.isEmpty()) return
    val confirmed = state.quorumValue { id ->
        if (id == state.self) state.readRound else state.peers[id]?.readRound ?: 0
    }
    val (done, waiting) = state.reads.partition { it.round <= confirmed }
    if (done.isEmpty()) return
    state = state.copy(reads = waiting.toPersistentList())
    done.forEach { emit(RaftEffect.ReadReady(it.readId, it.index)) }
    if (waiting.isNotEmpty()) startReadRound()
}
