package dev.jackdawdale.telemetry

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** The classes of work whose waits are measured separately. */
internal enum class WorkClass { SHORT_REQUEST, LONG_REQUEST, URGENT_TASK, SERVICE, BATCH, GANG }

/** The dimensions of a host's capacity. */
internal enum class Dimension { CPU, MEMORY, ACCELERATORS }

/**
 * The five measures of the cell: wait before the start, packing, cost of control, useful work, and
 * the wait of short requests behind long ones. The control loop calls it with plain values.
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

    /** Work of [workClass] was placed [waitMs] after its acceptance. */
    fun placed(workClass: WorkClass, waitMs: Long) =
        waits.getValue(workClass).record(waitMs, TimeUnit.MILLISECONDS)

    /** A short request was placed after [waitMs] during which long work held slots. */
    fun shortWaitedBehindLong(waitMs: Long) = shortBehindLong.record(waitMs, TimeUnit.MILLISECONDS)

    /**
     * Workers that hold tasks have [allocated] of [capacity] in use; 0 of 0 when none holds any.
     */
    fun packed(dimension: Dimension, allocated: Long, capacity: Long) {
        packing[dimension] = if (capacity == 0L) 0.0 else allocated.toDouble() / capacity
    }

    /** One pass of [decision] (admit, route, place, recover) took [nanos] on the control thread. */
    fun decided(decision: String, nanos: Long) = decisions.computeIfAbsent(decision) {
        decisionTimer(
            registry,
            "jackdawdale.control.decision",
            "Time of the control thread for one pass",
            "decision",
            it
        )
    }.record(nanos, TimeUnit.NANOSECONDS)

    /** An attempt held a slot for [runMs]; [useful] when its answer reached the record. */
    fun ran(runMs: Long, useful: Boolean) =
        (if (useful) usefulMs else wastedMs).increment(runMs.toDouble())

    /** New work was refused because of [limit]: a refusal label or a contract field. */
    fun refused(limit: String) = refusals.computeIfAbsent(limit) {
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
