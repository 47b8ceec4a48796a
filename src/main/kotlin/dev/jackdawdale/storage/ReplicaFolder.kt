package dev.jackdawdale.storage

import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.ReplicaId
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.UUID
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Limits of a data folder.
 *
 * @property minFreeBytes writes of entries are refused when less space is free
 */
internal data class FolderSettings(
    val segmentBytes: Long = 16L * 1024 * 1024,
    val minFreeBytes: Long = 64L * 1024 * 1024
)

/**
 * Opens the data folder of a replica; an empty folder gets a new identity.
 *
 * @throws StorageException when the folder is damaged, in use or not writable
 */
internal fun replicaFolder(
    folder: Path,
    settings: FolderSettings = FolderSettings(),
    check: WriteCheck = {}
): ReplicaStorage {
    createFolder(folder)
    val lock = lockFolder(folder)
    return ReplicaFolder(folder, settings, check, lock)
}

private class ReplicaFolder(
    private val folder: Path,
    private val settings: FolderSettings,
    private val check: WriteCheck,
    private val lock: FileLock
) : ReplicaStorage {
    private val log = SegmentedLog(folder.resolve("log"), settings.segmentBytes, check)
    private val snapshots = SnapshotFolder(folder.resolve("snapshots"), check)
    override val replicaId: ReplicaId = readOrCreateIdentity(folder, check)

    override fun load(): StoredState {
        val vote = readChecked(folder.resolve(VOTE_FILE))
            ?.let { cellCbor.decodeFromByteArray<VoteFile>(it) }
            ?: VoteFile(0, null)
        val snapshot = snapshots.load()
        val entries = afterSnapshot(snapshot, log.load())
        return StoredState(vote.term, vote.votedFor, snapshot, entries)
    }

    override fun write(writes: List<StorageWrite>) {
        if (writes.any { it is StorageWrite.Entries }) requireSpace()
        for (write in writes) {
            when (write) {
                is StorageWrite.Vote -> writeVote(write)

                is StorageWrite.Entries -> log.append(write.entries)

                is StorageWrite.DropThrough -> log.dropThrough(write.index)

                is StorageWrite.Install -> {
                    snapshots.write(write.snapshot)
                    log.clear()
                }
            }
        }
        log.sync()
    }

    override fun writeSnapshot(snapshot: StoredSnapshot) = snapshots.write(snapshot)

    override fun readSnapshot(index: Long, offset: Long, maxBytes: Int): SnapshotChunk? =
        snapshots.read(index, offset, maxBytes)

    override fun close() {
        log.close()
        snapshots.close()
        lock.acquiredBy().close()
    }

    private fun writeVote(write: StorageWrite.Vote) {
        val bytes = cellCbor.encodeToByteArray(VoteFile(write.term, write.votedFor))
        replaceDurably(folder.resolve(VOTE_FILE), listOf(bytes), check)
    }

    private fun requireSpace() = onDisk(folder) {
        val usable = Files.getFileStore(folder).usableSpace
        if (usable < settings.minFreeBytes) {
            throw StorageException(StorageError.Full(folder, usable))
        }
    }

    /** Completes a [StorageWrite.Install] that a crash interrupted before the log was cleared. */
    private fun afterSnapshot(snapshot: StoredSnapshot?, entries: List<Entry>): List<Entry> {
        val meta = snapshot?.meta
        val base = meta?.index ?: 0
        val first = entries.firstOrNull()?.index ?: return emptyList()
        val last = entries.last().index
        val replaced = last < base || entries.any { it.index == base && it.term != meta?.term }
        if (replaced) {
            log.clear()
            return emptyList()
        }
        if (first > base + 1) damaged(folder, 0, "entries ${base + 1} to ${first - 1} are missing")
        return entries.filter { it.index > base }
    }
}

private const val VOTE_FILE = "vote"
private const val IDENTITY_FILE = "identity"
private const val LOCK_FILE = "lock"

@Serializable
private data class VoteFile(val term: Long, val votedFor: ReplicaId?)

private fun lockFolder(folder: Path): FileLock = onDisk(folder) {
    val options = arrayOf(StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    val channel = FileChannel.open(folder.resolve(LOCK_FILE), *options)
    val lock = try {
        channel.tryLock()
    } catch (_: OverlappingFileLockException) {
        null
    }
    if (lock == null) {
        channel.close()
        throw StorageException(StorageError.InUse(folder))
    }
    lock
}

private fun readOrCreateIdentity(folder: Path, check: WriteCheck): ReplicaId {
    val path = folder.resolve(IDENTITY_FILE)
    val known = readChecked(path)
    if (known != null) return ReplicaId(known.decodeToString())
    if (Files.exists(folder.resolve(VOTE_FILE)) || Files.exists(folder.resolve("log"))) {
        damaged(path, 0, "the folder holds a log and no identity")
    }
    val id = ReplicaId(UUID.randomUUID().toString())
    replaceDurably(path, listOf(id.value.encodeToByteArray()), check)
    return id
}
