package dev.jackdawdale.replica

import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.storage.ReplicaStorage
import dev.jackdawdale.storage.SnapshotChunk
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.StorageWrite
import dev.jackdawdale.storage.StoredSnapshot
import dev.jackdawdale.storage.StoredState
import java.nio.file.Path

/** Storage in memory; everything written survives a crash of the replica. */
internal class MemoryStorage(override val replicaId: ReplicaId) : ReplicaStorage {
    var entries = mutableListOf<Entry>()
    private var term = 0L
    private var votedFor: ReplicaId? = null
    var snapshot: StoredSnapshot? = null
    var failing = false

    override fun load(): StoredState {
        val base = snapshot?.meta?.index ?: 0
        return StoredState(term, votedFor, snapshot, entries.filter { it.index > base })
    }

    override fun write(writes: List<StorageWrite>) {
        if (failing) throw StorageException(StorageError.Failed(Path.of("memory"), "no space left"))
        writes.forEach(::write)
    }

    private fun write(write: StorageWrite) {
        when (write) {
            is StorageWrite.Vote -> {
                check(write.term >= term) { "the term went back from $term to ${write.term}" }
                check(write.term > term || votedFor == null || write.votedFor == votedFor) {
                    "the vote of term $term changed"
                }
                term = write.term
                votedFor = write.votedFor
            }

            is StorageWrite.Entries -> {
                entries.removeIf { it.index >= write.entries.first().index }
                entries += write.entries
            }

            is StorageWrite.DropThrough -> entries.removeIf { it.index <= write.index }

            is StorageWrite.Install -> {
                snapshot = write.snapshot
                entries.clear()
            }
        }
    }

    override fun writeSnapshot(snapshot: StoredSnapshot) {
        if (snapshot.meta.index > (this.snapshot?.meta?.index ?: 0)) this.snapshot = snapshot
    }

    override fun readSnapshot(index: Long, offset: Long, maxBytes: Int): SnapshotChunk? {
        val bytes = snapshot?.takeIf { it.meta.index == index }?.bytes ?: return null
        val from = offset.toInt()
        return SnapshotChunk(
            bytes.size.toLong(),
            bytes.copyOfRange(from, minOf(bytes.size, from + maxBytes))
        )
    }

    override fun close() = Unit
}
