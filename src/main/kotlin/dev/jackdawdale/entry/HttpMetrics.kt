package dev.jackdawdale.entry

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Time and number of calls by route and status. */
internal class HttpMetrics(private val registry: MeterRegistry) {
    private data class Key(val route: String, val method: String, val status: Int)

    private val timers = ConcurrentHashMap<Key, Timer>()

    /** Records one call; [route] is null when no route matched. */
    fun record(route: Route?, status: Int, durationNanos: Long) {
        val key = Key(route?.pattern ?: "unknown", route?.method ?: "unknown", status)
        val timer = timers.computeIfAbsent(key) {
            Timer.builder("jackdawdale.http.calls")
                .tag("route", it.route)
                .tag("method", it.method)
                .tag("status", it.status.toString())
                .register(registry)
        }
        timer.record(durationNanos, TimeUnit.NANOSECONDS)
    }
}
