package dev.jackdawdale.storage

import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.model.wrapDecodeErrors
import dev.jackdawdale.raft.SnapshotMeta
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.Locale
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** A snapshot file; its state has [sizeBytes] bytes from offset [start] on. */
private class SnapshotFile(val path: Path, val index: Long, val start: Long, val sizeBytes: Long)

/** Stores the latest snapshot. Thread-safe. */
internal class SnapshotFolder(private val folder: Path, private val check: WriteCheck) {
    private var latest: SnapshotFile? = null
    private var closed = false

    @Synchronized
    fun load(): StoredSnapshot? {
        createFolder(folder)
        val path = filesIn(folder, SUFFIX).lastOrNull() ?: return null
        val bytes = readChecked(path) ?: return null
        val start = Int.SIZE_BYTES + ByteBuffer.wrap(bytes).getInt()
        val meta = wrapDecodeErrors("snapshot header of $path") {
            cellCbor.decodeFromByteArray<SnapshotMeta>(bytes.copyOfRange(Int.SIZE_BYTES, start))
        }
        latest = SnapshotFile(path, meta.index, start.toLong(), bytes.size.toLong() - start)
        return StoredSnapshot(meta, bytes.copyOfRange(start, bytes.size))
    }

    /** Writes the snapshot unless a later one is stored, then deletes earlier ones. */
    @Synchronized
    fun write(snapshot: StoredSnapshot) {
        val index = snapshot.meta.index
        if (closed || index <= (latest?.index ?: 0)) return
        val path = folder.resolve(String.format(Locale.ROOT, NAME_FORMAT, index))
        val meta = cellCbor.encodeToByteArray(snapshot.meta)
        val length = ByteBuffer.allocate(Int.SIZE_BYTES).putInt(meta.size).array()
        replaceDurably(path, listOf(length, meta, snapshot.bytes), check)
        val start = Int.SIZE_BYTES + meta.size.toLong()
        latest = SnapshotFile(path, index, start, snapshot.bytes.size.toLong())
        filesIn(folder, SUFFIX).filter { it != path }.forEach { onDisk(it) { Files.delete(it) } }
    }

    /** Later writes are ignored, because another process may own the folder by then. */
    @Synchronized
    fun close() {
        closed = true
    }

    @Synchronized
    fun read(index: Long, offset: Long, maxBytes: Int): SnapshotChunk? {
        val file = latest?.takeIf { it.index == index } ?: return null
        val from = offset.coerceIn(0, file.sizeBytes)
        val buffer = ByteBuffer.allocate(minOf(maxBytes.toLong(), file.sizeBytes - from).toInt())
        onDisk(file.path) {
            FileChannel.open(file.path, StandardOpenOption.READ).use { channel ->
                channel.position(file.start + from)
                while (buffer.hasRemaining() && channel.read(buffer) >= 0) Unit
            }
        }
        if (buffer.hasRemaining()) damaged(file.path, file.start + from, "the file ends early")
        return SnapshotChunk(file.sizeBytes, buffer.array())
    }
}

private const val SUFFIX = ".snapshot"
private const val NAME_FORMAT = "%020d$SUFFIX"
