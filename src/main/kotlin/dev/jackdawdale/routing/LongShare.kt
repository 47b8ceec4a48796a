package dev.jackdawdale.routing

import kotlin.math.ceil

/**
 * The most slots that arriving short work needed: its run time per time in which it arrived,
 * averaged over short buckets, the greatest within the present window and the one before it.
 * Waiting work is no measure, because a backlog would then keep the reserve too large.
 *
 * @property bucketMs expected run time of what arrived within the present bucket
 */
internal data class ShortPeak(
    private val bucket: Long = 0,
    private val bucketMs: Double = 0.0,
    private val window: Long = 0,
    private val current: Double = 0.0,
    private val previous: Double = 0.0
) {
    fun arrived(runTimeMs: Long, nowMs: Long, settings: RoutingSettings): ShortPeak {
        val moved = at(nowMs, settings)
        val bucketNow = nowMs / settings.peakBucketMs
        val filled = runTimeMs + if (bucketNow == bucket) bucketMs else 0.0
        val slots = filled / settings.peakBucketMs
        return moved.copy(
            bucket = bucketNow,
            bucketMs = filled,
            current = maxOf(moved.current, slots)
        )
    }

    fun slots(nowMs: Long, settings: RoutingSettings): Int {
        val moved = at(nowMs, settings)
        return ceil(maxOf(moved.current, moved.previous) * settings.peakHeadroom).toInt()
    }

    private fun at(nowMs: Long, settings: RoutingSettings): ShortPeak {
        val now = nowMs / settings.peakWindowMs
        return when {
            now <= window -> this
            now == window + 1 -> copy(window = now, current = 0.0, previous = current)
            else -> copy(window = now, current = 0.0, previous = 0.0)
        }
    }
}

/**
 * Slots that long work may hold: all but the peak of short work, from
 * [RoutingSettings.longShareLeast] to [RoutingSettings.longShare] of them. A fixed quarter for
 * short work made bursts of checks wait 88 ms at p99 behind long runs and 0 ms without them.
 */
internal fun ServiceState.longLimit(settings: RoutingSettings, nowMs: Long): Int {
    val slots = pool.healthySlots
    val most = maxOf((slots * settings.longShare).toInt(), 1)
    val least = maxOf((slots * settings.longShareLeast).toInt(), 1)
    val left = slots - shortPeak.slots(nowMs, settings)
    return left.coerceIn(minOf(least, most), most)
}

/** Long slots that one customer may hold while another one waits for them. */
internal fun ServiceState.customerLongLimit(settings: RoutingSettings, nowMs: Long): Int =
    maxOf((longLimit(settings, nowMs) * settings.customerLongShare).toInt(), 1)
