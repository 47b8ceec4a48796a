package dev.jackdawdale.push

import dev.jackdawdale.admission.MILLI_TOKENS_PER_REQUEST
import dev.jackdawdale.admission.TokenBucket
import dev.jackdawdale.admission.fullBucket
import dev.jackdawdale.admission.refilled
import dev.jackdawdale.admission.takeOne
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId

/**
 * The customers' rates of jobs at one leader; a new leader begins with full buckets.
 *
 * Answers a customer that sends several times its usual load: what is beyond its rate must not
 * delay the jobs of others.
 *
 * @param windowMs span over which jobs are counted; a customer may send as many at once as its rate
 *   allows in it
 */
internal class CustomerRates(private val windowMs: Long) {
    private val buckets = HashMap<CustomerId, TokenBucket>()

    /** Counts a job, and returns whether it is beyond the rate; a rate of 0 is no limit. */
    fun isBeyond(contract: Contract, nowMs: Long): Boolean {
        if (contract.requestRatePerSec <= 0) return false
        // The platform's contracts have no burst of their own.
        val burst = contract.requestRatePerSec * windowMs / MS_PER_SEC
        val limits = contract.copy(requestBurst = burst.coerceAtMost(MAX_BURST).toInt())
        val filled = buckets[contract.customerId]?.refilled(limits, nowMs)
            ?: fullBucket(limits, nowMs)
        val isBeyond = filled.milliTokens < MILLI_TOKENS_PER_REQUEST
        buckets[contract.customerId] = if (isBeyond) filled else filled.takeOne()
        return isBeyond
    }

    private companion object {
        const val MS_PER_SEC = 1_000L
        const val MAX_BURST = 1_000_000L
    }
}
