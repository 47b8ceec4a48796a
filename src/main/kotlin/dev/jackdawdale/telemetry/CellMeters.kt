package dev.jackdawdale.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** The classes of work whose wait times are measured separately. */
internal enum class WorkClass { SHORT_REQUEST, LONG_REQUEST, URGENT_TASK, SERVICE, BATCH, GANG }

/** The dimensions of a host's capacity. */
internal enum class Dimension { CPU, MEMORY, ACCELERATORS }

/**
 * The metrics of the cell: wait before the start, packing, time of control passes, refusals, useful
 * and wasted run time, and head-of-line blocking of short requests by long ones.
 */
internal class CellMeters(private val registry: MeterRegistry) {
    private val waits = WorkClass.entries.associateWith { workClass ->
        waitTimer(
            registry,
            "jackdawdale.wait.before.start",
            "Time from acceptance to placement",
            "class",
            workClass.name.lowercase()
        )
    }
    private val shortBehindLong = waitTimer(
        registry,
        "jackdawdale.short.behind.long",
        "Time that a short request waited while long work held slots of its service"
    )
    private val usefulMs = runCounter("useful")
    private val wastedMs = runCounter("wasted")
    private val packing = ConcurrentHashMap<Dimension, Double>()
    private val decisions = ConcurrentHashMap<String, Timer>()
    private val refusals = ConcurrentHashMap<String, Counter>()

    init {
        Dimension.entries.forEach { dimension ->
            Gauge.builder("jackdawdale.packing.ratio", packing) { it[dimension] ?: 0.0 }
                .description("Allocated part of the capacity of workers that hold tasks")
                .tag("resource", dimension.name.lowercase())
                .register(registry)
        }
    }

    /** Records that work of [workClass] was placed [waitMs] after its acceptance. */
    fun recordWait(workClass: WorkClass, waitMs: Long) =
        waits.getValue(workClass).record(waitMs, TimeUnit.MILLISECONDS)

    /** Records that a short request waited [waitMs] while long work occupied slots. */
    fun recordShortBehindLong(waitMs: Long) = shortBehindLong.record(waitMs, TimeUnit.MILLISECONDS)

    /**
     * Records that workers with tasks have [allocated] of [capacity] in use; 0 of 0 without any.
     */
    fun recordPacking(dimension: Dimension, allocated: Long, capacity: Long) {
        packing[dimension] = if (capacity == 0L) 0.0 else allocated.toDouble() / capacity
    }

    /**
     * Records that [decision] (admit, route, place, recover; pass for a whole pass) took [nanos] on
     * the control thread.
     */
    fun recordDecision(decision: String, nanos: Long) = decisions.computeIfAbsent(decision) {
        decisionTimer(
            registry,
            "jackdawdale.control.decision",
            "Time of the control thread for one pass",
            "decision",
            it
        )
    }.record(nanos, TimeUnit.NANOSECONDS)

    /** Records that an attempt held a slot for [runMs]; [useful] when its answer was recorded. */
    fun recordRun(runMs: Long, useful: Boolean) =
        (if (useful) usefulMs else wastedMs).increment(runMs.toDouble())

    /** Records that new work was refused because of [limit], a refusal label or contract field. */
    fun recordRefusal(limit: String) = refusals.computeIfAbsent(limit) {
        Counter.builder("jackdawdale.refusals")
            .description("New work refused, by the limit that refused it")
            .tag("limit", it)
            .register(registry)
    }.increment()

    private fun runCounter(result: String): Counter = Counter.builder("jackdawdale.run.ms")
        .description("Slot time of attempts, by whether their answer was used")
        .tag("result", result)
        .register(registry)
}
