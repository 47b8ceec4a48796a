package dev.jackdawdale.push

import dev.jackdawdale.model.CustomerId

/**
 * Share of each customer's jobs that ended within their objective, over the last 30 to 60 s. Jobs
 * beyond the rate and cancelled ones aren't recorded.
 */
internal class OnTimeShares {
    private val current = HashMap<CustomerId, Ends>()
    private var previous: Map<CustomerId, Ends> = emptyMap()
    private var currentSinceMs = Long.MIN_VALUE

    fun record(customerId: CustomerId, onTime: Boolean, nowMs: Long) {
        turn(nowMs)
        val before = current[customerId] ?: Ends(0, 0)
        current[customerId] = Ends(before.jobs + 1, before.onTime + if (onTime) 1 else 0)
    }

    /** Mean share of the tenth of customers that were served worst; 1 without any ends. */
    fun worstTenth(nowMs: Long): Double {
        turn(nowMs)
        val shares = (current.keys + previous.keys).map { customerId ->
            val ends = listOfNotNull(current[customerId], previous[customerId])
            ends.sumOf { it.onTime }.toDouble() / ends.sumOf { it.jobs }
        }.sorted()
        if (shares.isEmpty()) return 1.0
        return shares.take((shares.size + TENTH - 1) / TENTH).average()
    }

    private fun turn(nowMs: Long) {
        if (currentSinceMs == Long.MIN_VALUE) currentSinceMs = nowMs
        val age = nowMs - currentSinceMs
        if (age < WINDOW_MS) return
        previous = if (age < 2 * WINDOW_MS) current.toMap() else emptyMap()
        current.clear()
        currentSinceMs = nowMs
    }

    private data class Ends(val jobs: Int, val onTime: Int)

    private companion object {
        const val TENTH = 10

        /** Long enough for several jobs of the rarest class of a small customer. */
        const val WINDOW_MS = 30_000L
    }
}
