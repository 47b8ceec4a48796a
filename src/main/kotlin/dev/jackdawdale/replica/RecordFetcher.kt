package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.MAX_MESSAGE_PAYLOAD_BYTES
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.raft.RecordBatch
import dev.jackdawdale.raft.RecordFetch
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.records.RecordPosition
import dev.jackdawdale.records.RecordStore
import dev.jackdawdale.storage.StorageException

/** Time without records after which the next peer is asked. */
private const val REPLY_TIMEOUT_MS = 500L

/** Fetches records that this replica lacks, and serves those it holds to others. */
internal class RecordFetcher(
    private val self: ReplicaId,
    private val records: RecordStore,
    private val threads: ReplicaThreads,
    private val send: (to: HostId, message: RaftMessage) -> Unit
) {
    private var askedPeer: HostId? = null
    private var dueMs = 0L

    /** Asks the next of [peers] when records are missing and no request is in flight. */
    fun tick(peers: List<HostId>, nowMs: Long) {
        if (nowMs < dueMs || peers.isEmpty()) return
        val position = records.nextFetch() ?: return
        ask(peers[(peers.indexOf(askedPeer) + 1) % peers.size], position, nowMs)
    }

    fun onBatch(from: HostId, batch: RecordBatch, nowMs: Long) {
        if (from != askedPeer || batch.parts.isEmpty()) return
        val next = records.receive(batch.parts)
        if (next != null) ask(from, next, nowMs)
    }

    /** Reads on the background thread; a requester that gets no records asks another peer. */
    fun serve(from: HostId, fetch: RecordFetch) = threads.background.execute {
        val parts = try {
            records.parts(RecordPosition(fetch.number, fetch.offset), MAX_MESSAGE_PAYLOAD_BYTES)
        } catch (_: StorageException) {
            emptyList()
        }
        threads.control.execute { send(from, RecordBatch(self, parts)) }
    }

    private fun ask(peer: HostId, position: RecordPosition, nowMs: Long) {
        askedPeer = peer
        dueMs = nowMs + REPLY_TIMEOUT_MS
        send(peer, RecordFetch(self, position.number, position.offset))
    }
}
