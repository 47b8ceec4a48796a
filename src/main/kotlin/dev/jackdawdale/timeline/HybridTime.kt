package dev.jackdawdale.timeline

import kotlinx.serialization.Serializable

/**
 * A timestamp of a hybrid logical clock: close to the wall clock, and greater than the timestamps
 * of all earlier causes of its event, even when wall clocks disagree.
 *
 * @property wallMs greatest wall clock time seen, milliseconds since the epoch
 * @property counter order of events with the same [wallMs]
 */
@Serializable
internal data class HybridTime(val wallMs: Long, val counter: Long = 0) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::wallMs, HybridTime::counter)

    override fun toString(): String = "$wallMs.$counter"
}

/** The timestamp after [clock] for an event of this process at [nowMs]. */
internal fun tick(clock: HybridTime, nowMs: Long): HybridTime =
    if (nowMs > clock.wallMs) HybridTime(nowMs) else clock.copy(counter = clock.counter + 1)

/** The timestamp after [clock] for the receipt at [nowMs] of a message stamped with [remote]. */
internal fun merge(clock: HybridTime, remote: HybridTime, nowMs: Long): HybridTime =
    tick(maxOf(clock, remote), nowMs)
