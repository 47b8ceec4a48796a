package dev.jackdawdale.wire

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** A peer sent something that is not a frame or not a message of this connection. */
internal class BadFrame(message: String, cause: Throwable? = null) : Exception(message, cause)

/**
 * Reads one frame: a 4-byte length and that many bytes. An empty frame is a heartbeat.
 *
 * @throws BadFrame when the length is negative or greater than [maxBytes]
 */
internal suspend fun ByteReadChannel.readFrame(maxBytes: Int): ByteArray {
    val length = readInt()
    if (length !in 0..maxBytes) {
        throw BadFrame("frame of $length bytes; at most $maxBytes are allowed")
    }
    val bytes = ByteArray(length)
    if (length > 0) readFully(bytes)
    return bytes
}

/** Writes one frame without a flush. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    if (bytes.isNotEmpty()) writeFully(bytes)
}
