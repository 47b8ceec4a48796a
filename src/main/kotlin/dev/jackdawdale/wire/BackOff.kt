package dev.jackdawdale.wire

import kotlin.random.Random

/** Doubling waits between [minMs] and [maxMs], each shortened by a random part of up to half. */
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
