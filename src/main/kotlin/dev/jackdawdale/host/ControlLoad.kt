package dev.jackdawdale.host

import dev.jackdawdale.raft.Append
import dev.jackdawdale.raft.InstallSnapshot
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.telemetry.Durations
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.host")
private const val NANOS_PER_MS = 1_000_000

/**
 * Counts what the control thread does and writes one line about it every [everyMs]. Used on the
 * control thread only.
 */
internal class ControlLoad(private val everyMs: Long) {
    private var beganMs = Long.MIN_VALUE
    private var actions = Durations()
    private var passes = Durations()
    private var longestWaitNanos = 0L
    private var appends = 0
    private var appendBytes = 0L
    private var chunks = 0

    /** Runs [action], which was handed to the control thread at [askedNanos]. */
    fun run(askedNanos: Long, action: () -> Unit) {
        val beginNanos = System.nanoTime()
        longestWaitNanos = maxOf(longestWaitNanos, beginNanos - askedNanos)
        action()
        actions.add(System.nanoTime() - beginNanos)
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

    /** Writes the line when it is due, and begins to count anew. */
    fun tick(nowMs: Long) {
        if (beganMs == Long.MIN_VALUE) beganMs = nowMs
        if (nowMs - beganMs < everyMs) return
        log.info(
            "control thread in {} ms: {}; longest wait for it {} ms; passes: {}; " +
                "{} appends sent with {} bytes, {} snapshot chunks",
            nowMs - beganMs,
            actions.describe(),
            longestWaitNanos / NANOS_PER_MS,
            passes.describe(),
            appends,
            appendBytes,
            chunks
        )
        beganMs = nowMs
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
