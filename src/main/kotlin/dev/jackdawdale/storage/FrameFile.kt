package dev.jackdawdale.storage

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32C

/**
 * An append-only file of checksummed frames.
 *
 * A frame holds its length, a CRC32C, the file size at the last sync before it was written, and
 * the payload. That size distinguishes a torn tail from damage: after a crash, any of the frames
 * written since the last sync may be missing, but all others must be intact.
 */
internal class FrameFile(
    val path: Path,
    private val channel: FileChannel,
    private val check: WriteCheck,
    var sizeBytes: Long
) : AutoCloseable {
    private val buffer = ByteBuffer.allocateDirect(BUFFER_BYTES)
    private var syncedBytes = sizeBytes

    /** Appends a frame of [parts] without a sync and returns its offset. */
    fun append(parts: List<ByteArray>): Long = onDisk(path, check) {
        val offset = sizeBytes
        val length = parts.sumOf { it.size }
        val crc = CRC32C()
        crc.update(frameHeader(length, 0, syncedBytes))
        parts.forEach { crc.update(it) }
        writeBuffered(frameHeader(length, crc.value.toInt(), syncedBytes).array())
        parts.forEach(::writeBuffered)
        sizeBytes = offset + FRAME_HEADER_BYTES + length
        offset
    }

    /** Makes everything appended durable. */
    fun sync() = onDisk(path, check) {
        flush()
        channel.force(false)
        syncedBytes = sizeBytes
    }

    /** Durably truncates the file at [offset]. */
    fun truncate(offset: Long) = onDisk(path, check) {
        flush()
        channel.truncate(offset)
        channel.position(offset)
        channel.force(true)
        sizeBytes = offset
        syncedBytes = offset
    }

    override fun close() = channel.close()

    private fun writeBuffered(bytes: ByteArray) {
        var from = 0
        while (from < bytes.size) {
            if (!buffer.hasRemaining()) flush()
            val length = minOf(buffer.remaining(), bytes.size - from)
            buffer.put(bytes, from, length)
            from += length
        }
    }

    private fun flush() {
        buffer.flip()
        channel.writeFully(buffer)
        buffer.clear()
    }
}

internal const val FRAME_HEADER_BYTES = 16
internal const val FILE_HEADER_BYTES = 8
private const val BUFFER_BYTES = 256 * 1024

// "JDFRAME" and the version of the format.
private const val FILE_MAGIC = 0x4a444652414d4501L

private fun frameHeader(length: Int, crc: Int, syncedBytes: Long): ByteBuffer =
    ByteBuffer.allocate(FRAME_HEADER_BYTES).putInt(length).putInt(crc).putLong(syncedBytes).flip()

/** Offset of a frame in its file and length of its payload, in bytes. */
internal data class Frame(val offset: Long, val length: Int)

/** Reads the payload of this frame from [bytes], the content of the file. */
internal fun Frame.payload(bytes: ByteArray): ByteBuffer =
    ByteBuffer.wrap(bytes, offset.toInt() + FRAME_HEADER_BYTES, length).slice()

/** Durably creates a file without frames at [path]. */
internal fun createFrameFile(path: Path, check: WriteCheck): FrameFile = onDisk(path, check) {
    val options = arrayOf(
        StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE
    )
    val channel = FileChannel.open(path, *options)
    channel.writeFully(ByteBuffer.allocate(FILE_HEADER_BYTES).putLong(FILE_MAGIC).flip())
    channel.force(true)
    syncFolder(path.parent)
    FrameFile(path, channel, check, FILE_HEADER_BYTES.toLong())
}

/** Opens [path] for appending after [validBytes]; the rest is truncated. */
internal fun openFrameFile(path: Path, validBytes: Long, check: WriteCheck): FrameFile =
    onDisk(path, check) {
        val channel = FileChannel.open(path, StandardOpenOption.WRITE)
        FrameFile(path, channel, check, validBytes).apply { truncate(validBytes) }
    }

/**
 * Returns the intact frames of a file with the content [bytes].
 *
 * @param mayBeTorn the file is the last of its sequence, so a crash may have cut its end
 * @throws StorageException when a synced frame is damaged
 */
internal fun scanFrames(path: Path, bytes: ByteArray, mayBeTorn: Boolean): List<Frame> {
    val buffer = ByteBuffer.wrap(bytes)
    val hasHeader = bytes.size >= FILE_HEADER_BYTES && buffer.getLong(0) == FILE_MAGIC
    if (!hasHeader) {
        if (mayBeTorn && bytes.size <= FILE_HEADER_BYTES) return emptyList()
        damaged(path, 0, "not a frame file of this version")
    }
    val frames = mutableListOf<Frame>()
    var offset = FILE_HEADER_BYTES
    while (offset < bytes.size) {
        val length = buffer.frameLengthAt(offset)
        if (length < 0) {
            if (!mayBeTorn || buffer.hasFrameAfterSync(offset)) {
                damaged(path, offset.toLong(), "checksum does not match")
            }
            break
        }
        frames += Frame(offset.toLong(), length)
        offset += FRAME_HEADER_BYTES + length
    }
    return frames
}

/**
 * Reads the payload of one frame.
 *
 * @throws StorageException when the frame is damaged
 */
internal fun readFrame(path: Path, frame: Frame): ByteBuffer = onDisk(path) {
    val bytes = ByteArray(FRAME_HEADER_BYTES + frame.length)
    val buffer = ByteBuffer.wrap(bytes)
    FileChannel.open(path, StandardOpenOption.READ).use { channel ->
        channel.position(frame.offset)
        while (buffer.hasRemaining() && channel.read(buffer) >= 0) Unit
    }
    buffer.flip()
    if (!buffer.holdsFrame(frame)) damaged(path, frame.offset, "checksum does not match")
    ByteBuffer.wrap(bytes, FRAME_HEADER_BYTES, frame.length).slice()
}

private fun ByteBuffer.holdsFrame(frame: Frame): Boolean =
    limit() == FRAME_HEADER_BYTES + frame.length &&
        getInt(0) == frame.length &&
        checksumAt(0, frame.length) == getInt(Int.SIZE_BYTES)

/** Size of a file that ends with the last of [frames]. */
internal fun endOf(frames: List<Frame>): Long =
    frames.lastOrNull()?.let { it.offset + FRAME_HEADER_BYTES + it.length }
        ?: FILE_HEADER_BYTES.toLong()

/** Payload length of the frame at [offset], or -1 when it is not intact. */
private fun ByteBuffer.frameLengthAt(offset: Int): Int {
    if (limit() - offset < FRAME_HEADER_BYTES) return -1
    val length = getInt(offset)
    if (length < 0 || length > limit() - offset - FRAME_HEADER_BYTES) return -1
    val syncedBytes = getLong(offset + 2 * Int.SIZE_BYTES)
    if (syncedBytes < FILE_HEADER_BYTES || syncedBytes > offset) return -1
    return if (checksumAt(offset, length) == getInt(offset + Int.SIZE_BYTES)) length else -1
}

private fun ByteBuffer.checksumAt(offset: Int, length: Int): Int {
    val crc = CRC32C()
    crc.update(frameHeader(length, 0, getLong(offset + 2 * Int.SIZE_BYTES)))
    crc.update(array(), arrayOffset() + offset + FRAME_HEADER_BYTES, length)
    return crc.value.toInt()
}

/** True when a frame after [badOffset] was written after a sync that covered [badOffset]. */
private fun ByteBuffer.hasFrameAfterSync(badOffset: Int): Boolean =
    (badOffset + 1..limit() - FRAME_HEADER_BYTES).any { offset ->
        getLong(offset + 2 * Int.SIZE_BYTES) > badOffset && frameLengthAt(offset) >= 0
    }
