package dev.jackdawdale.admission

import dev.jackdawdale.model.Contract

/**
 * Token bucket of a customer's request rate, in thousandths of a request.
 *
 * @property milliTokens content at [atMs]; a rate of one request per second adds 1 per millisecond
 */
internal data class TokenBucket(val milliTokens: Long, val atMs: Long)

internal const val MILLI_TOKENS_PER_REQUEST = 1_000L

private val Contract.bucketSize: Long get() = maxOf(requestBurst, 1) * MILLI_TOKENS_PER_REQUEST

internal fun fullBucket(contract: Contract, nowMs: Long): TokenBucket =
    TokenBucket(contract.bucketSize, nowMs)

/** The bucket at [nowMs] by the rate and burst of [contract], which may have changed. */
internal fun TokenBucket.refilled(contract: Contract, nowMs: Long): TokenBucket {
    val elapsedMs = maxOf(nowMs - atMs, 0)
    // Longer gaps fill any bucket; the bound keeps the product below overflow.
    val gained = minOf(elapsedMs, MAX_REFILL_MS) * contract.requestRatePerSec
    return TokenBucket(minOf(milliTokens + gained, contract.bucketSize), maxOf(nowMs, atMs))
}

internal fun TokenBucket.takeOne(): TokenBucket =
    copy(milliTokens = milliTokens - MILLI_TOKENS_PER_REQUEST)

/** Time until the bucket holds one request, or null when the rate is 0. */
internal fun TokenBucket.waitMs(contract: Contract): Long? {
    val rate = contract.requestRatePerSec.toLong()
    if (rate <= 0) return null
    return maxOf((MILLI_TOKENS_PER_REQUEST - milliTokens + rate - 1) / rate, 1)
}

private const val MAX_REFILL_MS = 24 * 3_600_000L
