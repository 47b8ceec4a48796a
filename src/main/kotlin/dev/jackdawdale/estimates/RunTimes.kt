package dev.jackdawdale.estimates

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.ServiceName
import kotlin.math.exp
import kotlin.math.ln
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Groups requests that are expected to have similar run times. */
internal data class RunTimeKey(
    val customerId: CustomerId,
    val service: ServiceName,
    val kind: String
)

internal val RequestSpec.runTimeKey: RunTimeKey get() = RunTimeKey(customerId, service, kind)

/** Moving mean of the log run time of one key; run times span orders of magnitude. */
internal data class RunTime(val logMs: Double, val samples: Int) {
    val typicalMs: Long get() = exp(logMs).toLong()
}

/**
 * Run time estimates of requests. Keys beyond [MAX_RUN_TIME_KEYS] evict the oldest key.
 *
 * @property overall estimates per customer and service over all kinds
 */
internal data class RunTimes(
    private val byKey: PersistentMap<RunTimeKey, RunTime> = persistentMapOf(),
    private val overall: PersistentMap<RunTimeKey, RunTime> = persistentMapOf()
) {
    /** Typical run time of [key] in milliseconds, or null before the first measured run. */
    fun typicalMs(key: RunTimeKey): Long? = byKey[key]?.typicalMs

    /** Typical run time over all kinds of the customer and service of [key], or null. */
    fun overallMs(key: RunTimeKey): Long? = overall[key.copy(kind = "")]?.typicalMs

    /** Adds one run of [runTimeMs] milliseconds. */
    fun withRun(key: RunTimeKey, runTimeMs: Long): RunTimes = RunTimes(
        byKey.withRun(key, runTimeMs),
        overall.withRun(key.copy(kind = ""), runTimeMs)
    )
}

private fun PersistentMap<RunTimeKey, RunTime>.withRun(
    key: RunTimeKey,
    runTimeMs: Long
): PersistentMap<RunTimeKey, RunTime> {
    val sample = ln(maxOf(runTimeMs, 1).toDouble())
    val known = this[key] ?: return evictIfFull().put(key, RunTime(sample, 1))
    val gain = maxOf(1.0 / (known.samples + 1), MIN_GAIN)
    val step = (sample - known.logMs).coerceIn(-MAX_LOG_STEP, MAX_LOG_STEP)
    return put(key, RunTime(known.logMs + gain * step, known.samples + 1))
}

private fun PersistentMap<RunTimeKey, RunTime>.evictIfFull(): PersistentMap<RunTimeKey, RunTime> =
    if (size < MAX_RUN_TIME_KEYS) this else remove(keys.first())

/** Bounds the memory, because callers choose the kinds. */
internal const val MAX_RUN_TIME_KEYS = 20_000

private const val MIN_GAIN = 0.1

/** Caps the effect of a straggler at that of a run of four times the typical time. */
private val MAX_LOG_STEP = ln(4.0)
