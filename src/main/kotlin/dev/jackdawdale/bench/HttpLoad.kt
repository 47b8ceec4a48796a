package dev.jackdawdale.bench

import java.io.BufferedInputStream
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram

private const val MAX_LATENCY_NANOS = 60_000_000_000L
private const val HISTOGRAM_DIGITS = 3

/** Reads one HTTP message with Content-Length; returns its first line, or null at the end. */
private fun InputStream.readMessage(): String? {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = read()
        if (byte < 0) return null
        head.append(byte.toChar())
    }
    val lengthLine = head.lineSequence().first { it.startsWith("content-length:", true) }
    val length = lengthLine.substringAfter(':').trim().toInt()
    if (readNBytes(length).size < length) return null
    return head.lineSequence().first()
}

/** A loopback endpoint that answers at once, so that it adds no latency. */
internal class InstantEndpoint(answerBytes: Int) : AutoCloseable {
    private val listening = ServerSocket(0, 512, InetAddress.getLoopbackAddress())
    private val answer = "HTTP/1.1 200 OK\r\nContent-Length: $answerBytes\r\n\r\n"
        .plus("a".repeat(answerBytes)).encodeToByteArray()
    val port: Int get() = listening.localPort

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = try {
                    listening.accept()
                } catch (_: SocketException) {
                    break
                }
                thread(isDaemon = true) { serve(socket) }
            }
        }
    }

    private fun serve(socket: Socket): Unit = socket.use {
        it.tcpNoDelay = true
        val input = BufferedInputStream(it.getInputStream())
        try {
            while (input.readMessage() != null) it.getOutputStream().write(answer)
        } catch (_: SocketException) {
            return
        }
    }

    override fun close() = listening.close()
}

/**
 * Results of a load run.
 *
 * @property nanos latencies, each from the time at which the call was due
 */
internal class LoadResult(
    val calls: Long,
    val failed: Long,
    val elapsedS: Double,
    val nanos: Histogram
)

/**
 * Calls [port] over [connections] persistent connections for [durationMs].
 *
 * @param ratePerSec calls due per second over all connections; 0 sends the next after each answer
 * @param request the bytes of call number n
 */
internal fun load(
    port: Int,
    connections: Int,
    durationMs: Long,
    ratePerSec: Int,
    request: (Long) -> ByteArray
): LoadResult {
    val nanos = ConcurrentHistogram(MAX_LATENCY_NANOS, HISTOGRAM_DIGITS)
    val next = AtomicLong()
    val failed = AtomicLong()
    val startNanos = System.nanoTime()
    val endNanos = startNanos + durationMs * 1_000_000
    val threads = List(connections) { index ->
        thread {
            Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
                socket.tcpNoDelay = true
                val input = BufferedInputStream(socket.getInputStream())
                val stepNanos =
                    if (ratePerSec == 0) 0L else 1_000_000_000L * connections / ratePerSec
                var dueNanos = startNanos + stepNanos * index / connections
                while (System.nanoTime() < endNanos) {
                    if (stepNanos == 0L) dueNanos = System.nanoTime() else waitUntil(dueNanos)
                    socket.getOutputStream().write(request(next.getAndIncrement()))
                    val status = input.readMessage()
                    nanos.recordValue(System.nanoTime() - dueNanos)
                    if (status?.contains(" 200 ") != true) failed.incrementAndGet()
                    dueNanos += stepNanos
                }
            }
        }
    }
    threads.forEach { it.join() }
    val elapsedS = (System.nanoTime() - startNanos) / 1e9
    return LoadResult(nanos.totalCount, failed.get(), elapsedS, nanos)
}

private fun waitUntil(dueNanos: Long) {
    while (true) {
        val leftNanos = dueNanos - System.nanoTime()
        if (leftNanos <= 0) return
        LockSupport.parkNanos(leftNanos)
    }
}
