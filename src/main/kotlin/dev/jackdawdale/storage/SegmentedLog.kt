package dev.jackdawdale.storage

import dev.jackdawdale.model.Blob
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.EntryKind
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path

/** A file of consecutive entries; [offsets] holds the offset of each one. */
private class LogSegment(val path: Path, val firstIndex: Long, val offsets: MutableList<Long>) {
    val lastIndex: Long get() = firstIndex + offsets.size - 1
}

/** The replicated log in files of bounded size. Not thread-safe. */
internal class SegmentedLog(
    private val folder: Path,
    private val segmentBytes: Long,
    private val check: WriteCheck
) : AutoCloseable {
    private val segments = ArrayDeque<LogSegment>()
    private var writer: FrameFile? = null

    private val lastIndex: Long? get() = segments.lastOrNull()?.lastIndex

    /**
     * Reads all entries and truncates a torn tail.
     *
     * @throws StorageException when synced entries are damaged or missing
     */
    fun load(): List<Entry> {
        createFolder(folder)
        val entries = mutableListOf<Entry>()
        val files = filesIn(folder, SUFFIX)
        files.forEachIndexed { position, path ->
            val isLast = position == files.lastIndex
            val firstIndex = firstIndexOf(path)
            val expected = lastIndex?.plus(1) ?: firstIndex
            if (firstIndex != expected) damaged(path, 0, "entries from $expected on are missing")
            val bytes = onDisk(path) { Files.readAllBytes(path) }
            val frames = scanFrames(path, bytes, mayBeTorn = isLast)
            val segment = LogSegment(path, firstIndex, mutableListOf())
            for (frame in frames) {
                val entry = decodeEntry(frame.payload(bytes))
                if (entry.index != segment.lastIndex + 1) {
                    damaged(path, frame.offset, "entry ${entry.index} is out of order")
                }
                segment.offsets += frame.offset
                entries += entry
            }
            segments.addLast(segment)
            if (isLast) writer = reopen(path, bytes, frames)
        }
        return entries
    }

    /** Appends entries, replacing those from the first one's index on. Call [sync] after. */
    fun append(entries: List<Entry>) {
        val first = entries.firstOrNull()?.index ?: return
        val last = lastIndex
        if (last != null && first <= last) truncateFrom(first)
        entries.forEach(::append)
    }

    fun sync() {
        writer?.sync()
    }

    /** Deletes files that hold only entries up to [index]. */
    fun dropThrough(index: Long) {
        while (segments.size > 1 && segments.first().lastIndex <= index) {
            delete(segments.removeFirst())
        }
    }

    /** Drops all entries; the next one appended may have any index. */
    fun clear() {
        closeWriter()
        // Deletes the last file first: files left by a crash must hold consecutive entries.
        while (segments.isNotEmpty()) delete(segments.removeLast())
    }

    override fun close() = closeWriter()

    private fun append(entry: Entry) {
        val current = writer
        val full = current == null || current.sizeBytes >= segmentBytes
        val file = if (current == null || full) roll(entry.index) else current
        val header = ByteBuffer.allocate(ENTRY_HEADER_BYTES)
            .putLong(entry.index)
            .putLong(entry.term)
            .put(entry.kind.ordinal.toByte())
        val offset = file.append(listOf(header.array(), entry.payload.bytes))
        segments.last().offsets += offset
    }

    /** Starts a new file. Only the last file may be torn, so the one before it is synced first. */
    private fun roll(firstIndex: Long): FrameFile {
        writer?.sync()
        closeWriter()
        val path = folder.resolve(String.format(java.util.Locale.ROOT, NAME_FORMAT, firstIndex))
        val file = createFrameFile(path, check)
        segments.addLast(LogSegment(path, firstIndex, mutableListOf()))
        writer = file
        return file
    }

    private fun truncateFrom(index: Long) {
        writer?.sync()
        closeWriter()
        while (segments.isNotEmpty() && segments.last().firstIndex >= index) {
            delete(segments.removeLast())
        }
        val segment = segments.lastOrNull() ?: return
        val position = (index - segment.firstIndex).toInt()
        if (position < segment.offsets.size) {
            writer = openFrameFile(segment.path, segment.offsets[position], check)
            segment.offsets.subList(position, segment.offsets.size).clear()
        } else {
            writer = openFrameFile(segment.path, Files.size(segment.path), check)
        }
    }

    private fun reopen(path: Path, bytes: ByteArray, frames: List<Frame>): FrameFile =
        if (frames.isEmpty() && bytes.size <= FILE_HEADER_BYTES) {
            createFrameFile(path, check)
        } else {
            openFrameFile(path, endOf(frames), check)
        }

    /** Syncs each deletion: a power loss may undo an unsynced one but keep a later one. */
    private fun delete(segment: LogSegment) {
        onDisk(segment.path, check) { Files.delete(segment.path) }
        onDisk(folder, check) { syncFolder(folder) }
    }

    private fun closeWriter() {
        writer?.close()
        writer = null
    }
}

private const val SUFFIX = ".log"
private const val NAME_FORMAT = "%020d$SUFFIX"
private const val ENTRY_HEADER_BYTES = 2 * Long.SIZE_BYTES + 1

private fun firstIndexOf(path: Path): Long =
    path.fileName.toString().removeSuffix(SUFFIX).toLongOrNull()
        ?: damaged(path, 0, "the file name is not the index of an entry")

private fun decodeEntry(payload: ByteBuffer): Entry {
    val index = payload.getLong()
    val term = payload.getLong()
    val kind = EntryKind.entries[payload.get().toInt()]
    val bytes = ByteArray(payload.remaining())
    payload.get(bytes)
    return Entry(index, term, kind, Blob(bytes))
}
