package dev.jackdawdale.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** A peer sent an invalid frame or message. */
internal class BadFrame(message: String, cause: Throwable? = null) : Exception(message, cause)

private const val CHUNK_BYTES = 16 * 1024

/**
 * Reads one frame: a 4-byte length and that many bytes. An empty frame is a heartbeat.
 *
 * @param onBytes called whenever a part of the frame has arrived
 * @throws BadFrame when the length is negative or greater than [maxBytes]
 */
internal suspend fun ByteReadChannel.readFrame(maxBytes: Int, onBytes: () -> Unit = {}): ByteArray {
    val length = readInt()
    onBytes()
    if (length !in 0..maxBytes) {
        throw BadFrame("frame of $length bytes; at most $maxBytes are allowed")
    }
    val bytes = ByteArray(length)
    for (from in 0 until length step CHUNK_BYTES) {
        readFully(bytes, from, minOf(length, from + CHUNK_BYTES))
        onBytes()
    }
    return bytes
}

/** Writes one frame without flushing. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    if (bytes.isNotEmpty()) writeFully(bytes)
}
