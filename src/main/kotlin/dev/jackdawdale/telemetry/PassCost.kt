package dev.jackdawdale.telemetry

import java.util.Locale

private const val NANOS_PER_MS = 1e6

/** What the passes of the control loop cost since the last look. Used on one thread. */
internal class PassCost {
    private var passes = 0L
    private var sumNanos = 0L
    private var greatestNanos = 0L

    fun add(nanos: Long) {
        passes++
        sumNanos += nanos
        greatestNanos = maxOf(greatestNanos, nanos)
    }

    /** Describes the passes since the last call, and begins to count anew. */
    fun take(): String {
        val meanMs = if (passes == 0L) 0.0 else sumNanos / NANOS_PER_MS / passes
        val text = "%d passes, %.2f ms in the mean, %.2f ms the longest"
            .format(Locale.ROOT, passes, meanMs, greatestNanos / NANOS_PER_MS)
        passes = 0
        sumNanos = 0
        greatestNanos = 0
        return text
    }
}
