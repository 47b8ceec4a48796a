package dev.jackdawdale.wire

import dev.jackdawdale.timeline.HybridTime
import java.nio.ByteBuffer

/** Size of the hybrid time at the start of each message frame, in bytes. */
internal const val FRAME_TIME_BYTES = 2 * Long.SIZE_BYTES

/**
 * Stamps messages with this process's hybrid time and observes the times of its peers, so that an
 * event caused by a message is later on the timeline than the events before it was sent.
 */
internal class FrameClock(
    val stamp: () -> HybridTime = { HybridTime(0) },
    val observe: (HybridTime) -> Unit = {}
)

/** The bytes of a frame: the time, then the encoded message. */
internal fun timedFrame(time: HybridTime, message: ByteArray): ByteArray =
    ByteBuffer.allocate(FRAME_TIME_BYTES + message.size)
        .putLong(time.wallMs)
        .putLong(time.counter)
        .put(message)
        .array()

/** The time of a frame, or null when the frame is too short to hold one. */
internal fun frameTimeOrNull(frame: ByteArray): HybridTime? {
    if (frame.size < FRAME_TIME_BYTES) return null
    val buffer = ByteBuffer.wrap(frame)
    return HybridTime(buffer.long, buffer.long)
}
