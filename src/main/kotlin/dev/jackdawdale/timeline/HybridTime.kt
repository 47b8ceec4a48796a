package dev.jackdawdale.timeline

import kotlinx.serialization.Serializable

/**
 * A reading of a hybrid logical clock: close to the wall clock, and greater for whatever was caused
 * by an event with a smaller reading, also when wall clocks disagree.
 *
 * @property wallMs greatest wall clock seen, milliseconds since the epoch
 * @property counter order of events with the same [wallMs]
 */
@Serializable
internal data class HybridTime(val wallMs: Long, val counter: Long = 0) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::wallMs, HybridTime::counter)

    override fun toString(): String = "$wallMs.$counter"
}

/** The clock's reading for an event of this process at [nowMs]. */
internal fun tick(clock: HybridTime, nowMs: Long): HybridTime =
    if (nowMs > clock.wallMs) HybridTime(nowMs) else clock.copy(counter = clock.counter + 1)

/** The clock's reading for the receipt at [nowMs] of a message that was stamped with [remote]. */
internal fun merge(clock: HybridTime, remote: HybridTime, nowMs: Long): HybridTime =
    tick(maxOf(clock, remote), nowMs)
