package dev.jackdawdale.wire

import kotlin.random.Random

/** Exponential back-off from [minMs] to [maxMs]; random jitter shortens a delay by up to half. */
internal class BackOff(
    private val minMs: Long,
    private val maxMs: Long,
    private val random: Random = Random.Default
) {
    private var currentMs = minMs

    fun nextMs(): Long {
        val upper = currentMs
        currentMs = (currentMs * 2).coerceAtMost(maxMs)
        return upper - random.nextLong(upper / 2 + 1)
    }

    fun reset() {
        currentMs = minMs
    }
}
