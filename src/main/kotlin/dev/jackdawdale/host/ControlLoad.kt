package dev.jackdawdale.host

import dev.jackdawdale.raft.Append
import dev.jackdawdale.raft.InstallSnapshot
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.telemetry.Durations
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.host")
private const val NANOS_PER_MS = 1_000_000

/**
 * Measures the load of the control thread and logs a summary every [intervalMs]. Used only on the
 * control thread.
 */
internal class ControlLoad(private val intervalMs: Long) {
    private var intervalStartMs = Long.MIN_VALUE
    private var actions = Durations()
    private var passes = Durations()
    private var longestWaitNanos = 0L
    private var appends = 0
    private var appendBytes = 0L
    private var chunks = 0

    /** Runs [action], which was queued for the control thread at [enqueuedNanos]. */
    fun run(enqueuedNanos: Long, action: () -> Unit) {
        val startNanos = System.nanoTime()
        longestWaitNanos = maxOf(longestWaitNanos, startNanos - enqueuedNanos)
        action()
        actions.add(System.nanoTime() - startNanos)
    }

    fun passFinished(nanos: Long) = passes.add(nanos)

    fun sent(message: RaftMessage) {
        when (message) {
            is Append -> if (message.entries.isNotEmpty()) {
                appends++
                appendBytes += message.entries.sumOf { it.payload.sizeBytes.toLong() }
            }
            is InstallSnapshot -> chunks++
            else -> Unit
        }
    }

    /** Logs the summary and resets the counters when the interval is over. */
    fun tick(nowMs: Long) {
        if (intervalStartMs == Long.MIN_VALUE) intervalStartMs = nowMs
        if (nowMs - intervalStartMs < intervalMs) return
        log.info(
            "control thread in {} ms: {}; longest wait for it {} ms; passes: {}; " +
                "{} appends sent with {} bytes, {} snapshot chunks",
            nowMs - intervalStartMs,
            actions.describe(),
            longestWaitNanos / NANOS_PER_MS,
            passes.describe(),
            appends,
            appendBytes,
            chunks
        )
        intervalStartMs = nowMs
        actions = Durations()
        passes = Durations()
        longestWaitNanos = 0
        appends = 0
        appendBytes = 0
        chunks = 0
    }
}

private fun Durations.describe(): String =
    "$count took ${totalNanos / NANOS_PER_MS} ms, longest ${longestNanos / NANOS_PER_MS} ms"
