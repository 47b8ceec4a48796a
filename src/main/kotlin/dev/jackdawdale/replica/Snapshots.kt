package dev.jackdawdale.replica

import dev.jackdawdale.model.Blob
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.InstallSnapshot
import dev.jackdawdale.raft.Mode
import dev.jackdawdale.raft.RaftEffect
import dev.jackdawdale.raft.RaftInput
import dev.jackdawdale.raft.RaftLog
import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.SnapshotMeta
import dev.jackdawdale.raft.entry
import dev.jackdawdale.raft.lastIndex
import dev.jackdawdale.raft.membership
import dev.jackdawdale.raft.membershipAt
import dev.jackdawdale.raft.termAt
import dev.jackdawdale.records.RecordStore
import dev.jackdawdale.storage.ReplicaStorage
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.StorageWrite
import dev.jackdawdale.storage.StoredSnapshot
import java.io.ByteArrayOutputStream

/** While a peer receives a snapshot, the thresholds for a new one are this much higher. */
private const val TRANSFER_DELAY_FACTOR = 4

/** Takes snapshots of this replica's state, and sends and receives those of others. */
internal class Snapshots(
    private val settings: ReplicaSettings,
    private val callbacks: ReplicaCallbacks,
    private val threads: ReplicaThreads,
    private val storage: ReplicaStorage,
    private val records: RecordStore?,
    private val queue: StorageQueue
) {
    private var appliedBytes = 0L
    private var inProgress = false
    private var encoded: StoredSnapshot? = null
    private val incoming = ByteArrayOutputStream()

    fun countApplied(entry: Entry) {
        appliedBytes += entry.payload.sizeBytes
    }

    /** Starts a snapshot when one is due, or stores one that waited for its records. */
    fun takeIfDue(
        state: RaftState,
        appliedIndex: Long,
        onTaken: (RaftInput.SnapshotTaken) -> Unit
    ) {
        val waiting = encoded
        if (waiting != null) return storeIfSafe(waiting, state.log, onTaken)
        if (inProgress || !isDue(state, appliedIndex)) return
        inProgress = true
        appliedBytes = 0
        val meta = SnapshotMeta(
            appliedIndex,
            checkNotNull(state.log.termAt(appliedIndex)),
            state.log.membershipAt(appliedIndex)
        )
        val encode = callbacks.capture()
        threads.background.execute {
            val bytes = encode()
            threads.control.execute { encoded = StoredSnapshot(meta, bytes) }
        }
    }

    private fun isDue(state: RaftState, appliedIndex: Long): Boolean {
        if (hasLearnerFarBehind(state, appliedIndex)) return true
        val transferring = state.peers.values.any {
            it.mode == Mode.SNAPSHOT &&
                it.lastHeardMs + settings.raft.electionTimeoutMs > state.heartbeatDueMs
        }
        val factor = if (transferring) TRANSFER_DELAY_FACTOR else 1
        val entries = appliedIndex - state.log.snapshot.index
        return entries >= settings.snapshotEveryEntries * factor ||
            appliedBytes >= settings.snapshotEveryBytes * factor
    }

    /**
     * Whether a learner lacks more of the log than is retained beside a snapshot. A replica that
     * lost its disk is a learner until it holds the log, and has no vote until then: the state is
     * smaller than a long log, and is sent in a fraction of the time.
     */
    private fun hasLearnerFarBehind(state: RaftState, appliedIndex: Long): Boolean {
        val entries = appliedIndex - state.log.snapshot.index
        if (!state.ready || entries <= 0 || appliedBytes <= settings.retainedBytes) return false
        val farthest = state.membership.members.filter { !it.voter }
            .mapNotNull { state.peers[it.replicaId]?.matchIndex }
            .minOrNull() ?: return false
        val missing = (appliedIndex - farthest).coerceIn(0, entries)
        return appliedBytes * missing / entries > settings.retainedBytes
    }

    /** Stores a snapshot once the records before it are synced, as entries are dropped then. */
    private fun storeIfSafe(
        snapshot: StoredSnapshot,
        log: RaftLog,
        onTaken: (RaftInput.SnapshotTaken) -> Unit
    ) {
        if (records != null && !records.isSynced(snapshot.meta.index)) return
        encoded = null
        val taken = RaftInput.SnapshotTaken(snapshot.meta, dropThrough(snapshot.meta, log))
        threads.background.execute {
            val written = writeSnapshot(snapshot)
            threads.control.execute {
                inProgress = false
                if (written) {
                    onTaken(taken)
                    val drop = listOf(StorageWrite.DropThrough(taken.dropThrough))
                    queue.submit(StorageBatch(drop) {})
                }
            }
        }
    }

    /** A failed write only costs disk space: the log still holds all entries. */
    private fun writeSnapshot(snapshot: StoredSnapshot): Boolean = try {
        storage.writeSnapshot(snapshot)
        true
    } catch (_: StorageException) {
        false
    }

    private fun dropThrough(meta: SnapshotMeta, log: RaftLog): Long {
        var index = minOf(meta.index, log.lastIndex)
        var bytes = 0L
        while (index > log.baseIndex && meta.index - index < settings.retainedEntries) {
            bytes += log.entry(index).payload.sizeBytes
            if (bytes > settings.retainedBytes) break
            index--
        }
        return index
    }

    fun sendChunk(effect: RaftEffect.SendSnapshot) {
        val template = effect.template
        threads.background.execute {
            val chunk = try {
                storage.readSnapshot(
                    template.meta.index,
                    template.offset,
                    settings.raft.maxAppendBytes
                )
            } catch (_: StorageException) {
                null
            }
            if (chunk != null) {
                val data = Blob(chunk.bytes)
                val message = template.copy(totalBytes = chunk.totalBytes, data = data)
                threads.control.execute { callbacks.send(effect.to, message) }
            }
        }
    }

    fun storeChunk(chunk: InstallSnapshot) {
        if (chunk.offset == 0L) incoming.reset()
        incoming.writeBytes(chunk.data.bytes)
    }

    /** Returns the received snapshot after its last chunk was stored. */
    fun takeReceived(meta: SnapshotMeta): StoredSnapshot {
        val snapshot = StoredSnapshot(meta, incoming.toByteArray())
        incoming.reset()
        return snapshot
    }
}
