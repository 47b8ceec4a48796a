package dev.jackdawdale.telemetry

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.core.instrument.binder.system.ProcessorMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.time.Duration

/** Creates the meter registry of this process, which `GET /metrics` prints. */
internal fun prometheusRegistry(host: String): PrometheusMeterRegistry {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    registry.config().commonTags("host", host)
    JvmMemoryMetrics().bindTo(registry)
    JvmGcMetrics().bindTo(registry)
    ProcessorMetrics().bindTo(registry)
    return registry
}

// Fixed buckets, because Micrometer's percentile histogram has about 70 for each tag value.
private val buckets: Array<Duration> = longArrayOf(
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000, 300_000,
    3_600_000
).map(Duration::ofMillis).toTypedArray()

// Decisions are expected to take less than a millisecond.
private val decisionBuckets: Array<Duration> = longArrayOf(
    10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 50_000
).map { Duration.ofNanos(it * 1_000) }.toTypedArray()

internal fun waitTimer(
    registry: MeterRegistry,
    name: String,
    description: String,
    vararg tags: String
): Timer = Timer.builder(name).description(description).tags(*tags)
    .serviceLevelObjectives(*buckets).register(registry)

internal fun decisionTimer(
    registry: MeterRegistry,
    name: String,
    description: String,
    vararg tags: String
): Timer = Timer.builder(name).description(description).tags(*tags)
    .serviceLevelObjectives(*decisionBuckets).register(registry)
