package dev.jackdawdale.telemetry

/** Count, total and maximum of measured durations. Not thread-safe. */
internal class Durations {
    var count = 0L
        private set
    var totalNanos = 0L
        private set
    var longestNanos = 0L
        private set

    fun add(nanos: Long) {
        count++
        totalNanos += nanos
        longestNanos = maxOf(longestNanos, nanos)
    }
}
