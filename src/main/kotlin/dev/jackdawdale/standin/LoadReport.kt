package dev.jackdawdale.standin

import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.serialization.Serializable
import org.HdrHistogram.ConcurrentHistogram

/** Latencies of one kind of request, in milliseconds from the planned start to the answer. */
@Serializable
internal data class KindLatency(
    val kind: String,
    val succeeded: Long,
    val p50Ms: Double,
    val p99Ms: Double,
    val maxMs: Double
)

/**
 * Results of a load.
 *
 * @property outcomes number of requests by outcome or error
 * @property mixUps succeeded requests whose answer belongs to another request or is incomplete
 * @property skipped planned starts that were skipped because too many requests were in flight
 */
@Serializable
internal data class LoadReport(
    val outcomes: Map<String, Int>,
    val mixUps: Int,
    val skipped: Int,
    val latencies: List<KindLatency>
)

/** Counts answers; thread-safe. */
internal class LoadTally {
    private val outcomes = ConcurrentHashMap<String, AtomicInteger>()
    private val latencies = ConcurrentHashMap<String, ConcurrentHistogram>()
    private val mixUps = AtomicInteger()
    private val skipped = AtomicInteger()

    fun add(answer: LoadAnswer) {
        outcomes.computeIfAbsent(answer.outcome) { AtomicInteger() }.incrementAndGet()
        if (answer.mismatch() != null) mixUps.incrementAndGet()
        if (answer.outcome != RESULT_SUCCEEDED) return
        latencies.computeIfAbsent(answer.kind) { ConcurrentHistogram(MAX_MS, HISTOGRAM_DIGITS) }
            .recordValue(answer.waitMs.coerceIn(0, MAX_MS))
    }

    fun skip() {
        skipped.incrementAndGet()
    }

    fun report(): LoadReport = LoadReport(
        TreeMap(outcomes.mapValues { it.value.get() }),
        mixUps.get(),
        skipped.get(),
        latencies.toSortedMap().map { (kind, histogram) ->
            KindLatency(
                kind,
                histogram.totalCount,
                histogram.getValueAtPercentile(50.0).toDouble(),
                histogram.getValueAtPercentile(99.0).toDouble(),
                histogram.maxValue.toDouble()
            )
        }
    )
}

/** Formats the report for people. */
internal fun LoadReport.toText(): String = buildString {
    outcomes.forEach { (outcome, count) -> appendLine("$outcome: $count") }
    appendLine("mismatched or incomplete answers: $mixUps")
    if (skipped > 0) appendLine("not started, too many in flight: $skipped")
    latencies.forEach {
        appendLine(
            "${it.kind.ifEmpty { "(no kind)" }}: p50 ${it.p50Ms} ms, p99 ${it.p99Ms} ms, " +
                "max ${it.maxMs} ms of ${it.succeeded}"
        )
    }
}

private val MAX_MS = TimeUnit.HOURS.toMillis(1)
private const val HISTOGRAM_DIGITS = 3
