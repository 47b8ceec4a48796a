package dev.jackdawdale.wire

import dev.jackdawdale.model.CorruptPayload
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.model.wrapDecodeErrors
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.serialization.KSerializer
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.wire")

/** Estimated size of a queued message without its bodies. */
internal const val MESSAGE_OVERHEAD_BYTES = 256L

/**
 * The message types of one connection.
 *
 * @property weightBytes estimates the size of a queued message
 * @property insteadOfOversized replacement for a message larger than a frame, or null for none
 */
internal class LinkTypes<I, O>(
    val incoming: KSerializer<I>,
    val outgoing: KSerializer<O>,
    val weightBytes: (O) -> Long,
    val insteadOfOversized: (O) -> O? = { null }
)

/**
 * A connection after its handshake. [send] only queues; [run] encodes and writes the messages. A
 * full queue closes the connection, so that a peer that does not read cannot exhaust the memory of
 * this process.
 */
internal class FrameLink<I, O>(
    private val raw: RawLink,
    val peer: Hello,
    private val types: LinkTypes<I, O>,
    private val settings: PeerSettings
) {
    private val queue = Channel<O?>(Channel.UNLIMITED)
    private val queuedMessages = AtomicInteger()
    private val queuedBytes = AtomicLong()
    private val closeReason = AtomicReference<String?>()
    private val endReason = AtomicReference<String?>()

    @Volatile
    private var endingSinceNanos = 0L

    @Volatile
    private var lastBytesNanos = System.nanoTime()

    /** Why the connection is closed, or null while it is open. */
    val closedBecause: String? get() = closeReason.get()

    /** Queues [message]; false when the connection is closed or the queue just overflowed. */
    fun send(message: O): Boolean {
        if (closeReason.get() != null || endReason.get() != null) return false
        val bytes = queuedBytes.addAndGet(types.weightBytes(message))
        val messages = queuedMessages.incrementAndGet()
        if (messages > settings.maxQueuedMessages || bytes > settings.maxQueuedBytes) {
            close("send queue overflow: $messages messages, $bytes bytes")
            return false
        }
        return queue.trySend(message).isSuccess
    }

    /**
     * Sends the queued messages, then closes; drops messages that arrive meanwhile. Closes after
     * the silence timeout at the latest, in case the peer does not read.
     */
    fun closeAfterQueue(reason: String) {
        if (!endReason.compareAndSet(null, reason)) return
        endingSinceNanos = System.nanoTime()
        queue.close()
    }

    /** Closes the socket, for use when nothing is queued; data flushed before is still sent. */
    fun closeFlushed(reason: String) {
        if (closeReason.compareAndSet(null, reason)) raw.close()
    }

    /** Closes the socket; [run] returns soon after. Thread-safe and idempotent. */
    fun close(reason: String) {
        if (!closeReason.compareAndSet(null, reason)) return
        queue.close()
        raw.abort()
    }

    /** Sends and receives until the connection is closed; returns the reason. */
    suspend fun run(onMessage: (I) -> Unit): String {
        coroutineScope {
            val writer = launch { closingOnFailure { writeQueued() } }
            val watchdog = launch { watchSilence() }
            closingOnFailure { readFrames(onMessage) }
            close("closed by the peer")
            writer.cancel()
            watchdog.cancel()
        }
        return closeReason.get() ?: "closed"
    }

    private suspend fun readFrames(onMessage: (I) -> Unit) {
        while (closeReason.get() == null) {
            val frame = raw.input.readFrame(settings.maxFrameBytes, ::onBytesReceived)
            if (closeReason.get() != null) return
            if (frame.isNotEmpty() && endReason.get() == null) onMessage(decode(frame))
        }
    }

    /** Any part of a frame counts as activity: a busy process may read a large frame slowly. */
    private fun onBytesReceived() {
        val silentMs = silentMs()
        // After a pause of this process or of the network, the messages may be outdated.
        if (silentMs > settings.silenceTimeoutMs) close("silent for $silentMs ms")
        lastBytesNanos = System.nanoTime()
    }

    private fun decode(frame: ByteArray): I = try {
        val time = frameTimeOrNull(frame)
            ?: throw BadFrame("message frame of ${frame.size} bytes")
        settings.clock.observe(time)
        val message = frame.copyOfRange(FRAME_TIME_BYTES, frame.size)
        wrapDecodeErrors("message") { cellCbor.decodeFromByteArray(types.incoming, message) }
    } catch (e: CorruptPayload) {
        throw BadFrame("undecodable message of ${frame.size} bytes", e)
    }

    private suspend fun writeQueued() {
        for (first in queue) {
            writeOne(first)
            while (true) {
                val next = queue.tryReceive()
                if (!next.isSuccess) break
                writeOne(next.getOrNull())
            }
            raw.output.flush()
        }
        closeFlushed(endReason.get() ?: "closed")
    }

    private suspend fun writeOne(message: O?) {
        if (message == null) return raw.output.writeFrame(emptyFrame)
        queuedMessages.decrementAndGet()
        queuedBytes.addAndGet(-types.weightBytes(message))
        val frame = frameOf(message)
        if (frame.size <= settings.maxFrameBytes) return raw.output.writeFrame(frame)
        val kind = (message as Any)::class.simpleName
        log.error("dropped an oversized {} of {} bytes to {}", kind, frame.size, peer.hostId)
        val instead = types.insteadOfOversized(message) ?: return
        raw.output.writeFrame(frameOf(instead))
    }

    private fun frameOf(message: O): ByteArray =
        timedFrame(settings.clock.stamp(), cellCbor.encodeToByteArray(types.outgoing, message))

    private suspend fun CoroutineScope.watchSilence() {
        while (closeReason.get() == null) {
            delay(settings.heartbeatMs)
            queue.trySend(null)
            val silentMs = silentMs()
            if (silentMs > settings.silenceTimeoutMs) close("silent for $silentMs ms")
            val ending = endReason.get() ?: continue
            if (elapsedMs(endingSinceNanos) > settings.silenceTimeoutMs) close(ending)
        }
    }

    private fun silentMs(): Long = elapsedMs(lastBytesNanos)

    private fun elapsedMs(sinceNanos: Long): Long = (System.nanoTime() - sinceNanos) / 1_000_000

    private suspend fun closingOnFailure(block: suspend () -> Unit) {
        try {
            block()
        } catch (e: BadFrame) {
            log.warn("bad frame from {}: {}", peer.hostId, e.message)
            close(e.message ?: "bad frame")
        } catch (e: Exception) {
            close("broken: ${e.message ?: e::class.simpleName}")
            // A cancellation of the socket must not be taken for one of this coroutine.
            currentCoroutineContext().ensureActive()
        }
    }
}

private val emptyFrame = ByteArray(0)
