package dev.jackdawdale.telemetry

/** How often something was done and how long it took. Used on one thread. */
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
