package dev.jackdawdale.telemetry

import java.util.Locale

private const val NANOS_PER_MS = 1e6

/** Durations of control loop passes since the last call of [describeAndReset]. Not thread-safe. */
internal class PassDurations {
    private var passes = Durations()

    fun add(nanos: Long) = passes.add(nanos)

    /** Describes the passes since the last call and resets the counters. */
    fun describeAndReset(): String {
        val taken = passes
        passes = Durations()
        val meanMs = if (taken.count == 0L) 0.0 else taken.totalNanos / NANOS_PER_MS / taken.count
        return "%d passes, %.2f ms in the mean, %.2f ms the longest"
            .format(Locale.ROOT, taken.count, meanMs, taken.longestNanos / NANOS_PER_MS)
    }
}
