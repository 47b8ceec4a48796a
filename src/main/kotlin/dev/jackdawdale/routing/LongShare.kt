package dev.jackdawdale.routing

import kotlin.math.ceil

/**
 * Peak demand of arriving short work in slots: expected run time per bucket length, as the maximum
 * over the buckets of the current and the previous window. Waiting work is not counted, because a
 * backlog would keep the reserve too large.
 *
 * @property bucketMs total expected run time of the work that arrived in the current bucket
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
 * Slots that long work may hold: all but the peak demand of short work, within
 * [RoutingSettings.longMaxShareFloor] and [RoutingSettings.longMaxShare] of them. With a fixed
 * quarter for short work, bursts of checks waited 88 ms at p99 behind long runs, and 0 ms without
 * them.
 */
internal fun ServiceState.longLimit(settings: RoutingSettings, nowMs: Long): Int {
    val slots = pool.healthySlots
    val most = maxOf((slots * settings.longMaxShare).toInt(), 1)
    val least = maxOf((slots * settings.longMaxShareFloor).toInt(), 1)
    val left = slots - shortPeak.slots(nowMs, settings)
    return left.coerceIn(minOf(least, most), most)
}

/** Slots that one customer's long work may hold while that of another one waits. */
internal fun ServiceState.customerLongLimit(settings: RoutingSettings, nowMs: Long): Int =
    maxOf((longLimit(settings, nowMs) * settings.customerLongShare).toInt(), 1)
