package dev.jackdawdale.platform

import dev.jackdawdale.telemetry.DecisionLog
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.composite.CompositeMeterRegistry
import org.apache.logging.log4j.LogManager

private const val LINES_PER_S = 5

/** What a body was, for its metric. */
internal enum class BodyKind { JOB, CONFIGURATION, REGISTRATION, RUN_REPORT, START_ANSWER, ADVICE }

/**
 * Counts the bodies and rows that could not be decoded, and logs some of them: their sender may
 * repeat them at any rate. Thread-safe.
 */
internal class RejectedBodies(
    registry: MeterRegistry = CompositeMeterRegistry(),
    private val clock: () -> Long
) {
    private val lines = DecisionLog(LogManager.getLogger("dev.jackdawdale.platform"), LINES_PER_S)
    private val counters = BodyKind.entries.associateWith { kind ->
        Counter.builder("jackdawdale.bodies.rejected")
            .description("Bodies, and rows of lists, that could not be decoded")
            .tag("body", kind.name.lowercase())
            .register(registry)
    }

    /** Records that a body of [source] was rejected, or [rows] rows of it. */
    @Synchronized
    fun record(kind: BodyKind, source: String, problem: String, rows: Int = 1) {
        counters.getValue(kind).increment(rows.toDouble())
        lines.line(clock(), source.take(MAX_LOGGED_CHARS)) {
            val what = kind.name.lowercase().replace('_', ' ')
            "rejects a $what, or $rows rows of it: ${problem.take(MAX_LOGGED_CHARS)}"
        }
    }

    private companion object {
        const val MAX_LOGGED_CHARS = 200
    }
}
