package dev.jackdawdale.push

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.placement.dominantShare

/**
 * Gives the rank of a waiting step; the lowest gets workers and advice first.
 *
 * Computed once per step and pass: a pass runs some 90 times a second with up to 1,000 steps.
 */
internal typealias StepOrder = (step: ReadyStep, inputs: OrderInputs) -> Double

/**
 * What the order depends on besides the steps.
 *
 * @property hasCustomers whether the installation has customers
 * @property aboveShare customers that hold far more than their share while steps wait for capacity
 */
internal class OrderInputs(
    val nowMs: Long,
    val hasCustomers: Boolean = false,
    val aboveShare: Set<CustomerId> = emptySet()
)

/**
 * Order by the value to callers: steps that can still be on time, then late ones, then those that
 * are too late to be of use, then those of jobs beyond their customer's rate. Each of the first
 * three classes is ordered by the time left, which lets urgent short jobs overtake long ones at
 * peak load. The last one is ordered by age, so that each of its jobs runs in the end.
 *
 * Where customers are configured, steps of customers far above their share go last among those on
 * time, and the time left counts more for queues of a high priority. This answers one customer that
 * sends nine times its load beside nineteen others, and bursts of a class on a full cell.
 */
internal fun valueOrder(step: ReadyStep, inputs: OrderInputs): Double {
    if (step.job.beyondRate) return BEYOND_RATE_RANK + step.job.acceptedAtMs
    val nowMs = inputs.nowMs
    val leftMs = (step.latestStartMs - nowMs).toDouble()
    return when {
        nowMs > step.worthlessAfterMs -> WORTHLESS_RANK + leftMs
        nowMs > step.latestStartMs -> LATE_RANK + leftMs
        !inputs.hasCustomers -> leftMs
        else -> {
            val weighted = leftMs * (1 + step.job.terms.priority.coerceIn(0, MAX_PRIORITY))
            if (step.customerId in inputs.aboveShare) ABOVE_SHARE_RANK + weighted else weighted
        }
    }
}

/** Bounds the weight of the time left, so that no queue waits for all others. */
private const val MAX_PRIORITY = 9

/** Above the weighted time left of objectives of up to half a day. */
private const val ABOVE_SHARE_RANK = 5e8
private const val LATE_RANK = 1e9
private const val WORTHLESS_RANK = 2e9

/** Above all other ranks, also with the milliseconds since the epoch added. */
private const val BEYOND_RATE_RANK = 1e13

/**
 * The waiting customers whose dominant share of [total], divided by the weight, is far above the
 * average of all of them.
 *
 * @param held resources that each waiting customer holds
 */
internal fun aboveShare(
    held: Map<CustomerId, Resources>,
    contracts: Map<CustomerId, Contract>,
    total: Resources
): Set<CustomerId> {
    val shares = held.mapValues { (customerId, resources) ->
        dominantShare(resources, total) / maxOf(contracts[customerId]?.weight ?: 1, 1)
    }
    val limit = shares.values.average() * SHARE_TOLERANCE
    return shares.filterValues { it > limit }.keys
}

/**
 * Shares vary by chance, as one wide gang holds half of a customer's usual share: over eight seeds,
 * a limit of 1.25 averages cost 0.03 of the value and delayed wide gangs; 3 cost nothing.
 */
private const val SHARE_TOLERANCE = 3.0
