package dev.jackdawdale.estimates

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.ServiceName
import kotlin.math.exp
import kotlin.math.ln
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Requests with the same key are expected to run for similar times. */
internal data class RunTimeKey(
    val customerId: CustomerId,
    val service: ServiceName,
    val kind: String
)

internal val RequestSpec.runTimeKey: RunTimeKey get() = RunTimeKey(customerId, service, kind)

/** Measured run time of one key, as a logarithm: run times spread over orders of magnitude. */
internal data class RunTime(val logMs: Double, val samples: Int) {
    val typicalMs: Long get() = exp(logMs).toLong()
}

/**
 * Measured run times of requests. Keys beyond [MAX_RUN_TIME_KEYS] push out the oldest.
 *
 * @property overall run times of each customer and service over all kinds
 */
internal data class RunTimes(
    private val byKey: PersistentMap<RunTimeKey, RunTime> = persistentMapOf(),
    private val overall: PersistentMap<RunTimeKey, RunTime> = persistentMapOf()
) {
    /** The typical run time of [key] in milliseconds, or null until one was measured. */
    fun typicalMs(key: RunTimeKey): Long? = byKey[key]?.typicalMs

    /** The typical run time over all kinds of the customer and service of [key]. */
    fun overallMs(key: RunTimeKey): Long? = overall[key.copy(kind = "")]?.typicalMs

    /** Adds one measured run of [runTimeMs]. */
    fun measured(key: RunTimeKey, runTimeMs: Long): RunTimes = RunTimes(
        byKey.measured(key, runTimeMs),
        overall.measured(key.copy(kind = ""), runTimeMs)
    )
}

private fun PersistentMap<RunTimeKey, RunTime>.measured(
    key: RunTimeKey,
    runTimeMs: Long
): PersistentMap<RunTimeKey, RunTime> {
    val sample = ln(maxOf(runTimeMs, 1).toDouble())
    val known = this[key] ?: return bounded().put(key, RunTime(sample, 1))
    val gain = maxOf(1.0 / (known.samples + 1), LEAST_GAIN)
    val step = (sample - known.logMs).coerceIn(-MAX_STEP, MAX_STEP)
    return put(key, RunTime(known.logMs + gain * step, known.samples + 1))
}

private fun PersistentMap<RunTimeKey, RunTime>.bounded(): PersistentMap<RunTimeKey, RunTime> =
    if (size < MAX_RUN_TIME_KEYS) this else remove(keys.first())

/** Callers choose the kinds, so their number must be bounded. */
internal const val MAX_RUN_TIME_KEYS = 20_000

private const val LEAST_GAIN = 0.1

/** A straggler moves the estimate no more than a run of four times the typical length. */
private val MAX_STEP = ln(4.0)
