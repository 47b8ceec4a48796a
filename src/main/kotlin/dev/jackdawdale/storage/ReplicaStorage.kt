package dev.jackdawdale.storage

import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.raft.SnapshotMeta

/** Content of a data folder. */
internal data class StoredState(
    val term: Long,
    val votedFor: ReplicaId?,
    val snapshot: StoredSnapshot?,
    val entries: List<Entry>
)

internal class StoredSnapshot(val meta: SnapshotMeta, val bytes: ByteArray)

/** A change of the data folder; it is applied on the storage thread. */
internal sealed interface StorageWrite {
    data class Vote(val term: Long, val votedFor: ReplicaId?) : StorageWrite

    /** Replaces the entries from the first one's index on. */
    data class Entries(val entries: List<Entry>) : StorageWrite

    /** Drops entries up to [index]; a snapshot covers them. */
    data class DropThrough(val index: Long) : StorageWrite

    /** Replaces the whole log by a snapshot received from the leader. */
    data class Install(val snapshot: StoredSnapshot) : StorageWrite
}

/** The durable state of one replica. All functions throw [StorageException]. */
internal interface ReplicaStorage : AutoCloseable {
    /** Random identity of the data folder, created with it. */
    val replicaId: ReplicaId

    /** What the folder held when it was opened. */
    fun load(): StoredState

    /** Makes all [writes] durable, in order, with one sync of the log. */
    fun write(writes: List<StorageWrite>)

    /** Makes a snapshot of this replica's own state durable; may run concurrently with [write]. */
    fun writeSnapshot(snapshot: StoredSnapshot)

    /** Part of the snapshot at [index], or null when a later one has replaced it. */
    fun readSnapshot(index: Long, offset: Long, maxBytes: Int): SnapshotChunk?
}

internal class SnapshotChunk(val totalBytes: Long, val bytes: ByteArray)
