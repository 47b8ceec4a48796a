package dev.jackdawdale.push

import dev.jackdawdale.model.Resources

/** Measures how fast the workers of each rack free capacity. Used on the control thread only. */
internal class RackEnds {
    private class End(val workerId: String, val freed: Resources, val atMs: Long)

    private val byRack = HashMap<String, ArrayDeque<End>>()

    /** Records the end of a run that has [freed] capacity. */
    fun ended(rack: String, workerId: String, freed: Resources, nowMs: Long) {
        val ends = byRack.getOrPut(rack) { ArrayDeque() }
        ends += End(workerId, freed, nowMs)
        while (ends.size > MAX_ENDS || nowMs - ends.first().atMs > WINDOW_MS) ends.removeFirst()
    }

    /**
     * Time after which runs that end on [workers] of the rack free one place of the size of [need],
     * or null when too few have ended to tell, or none recently.
     */
    fun msPerPlace(rack: String, workers: Set<String>, need: Resources, nowMs: Long): Double? {
        val ends = byRack[rack].orEmpty()
            .filter { it.workerId in workers && nowMs - it.atMs <= WINDOW_MS }
        if (ends.size < MIN_ENDS) return null
        val sinceFirstMs = (nowMs - ends.first().atMs).coerceAtLeast(1)
        val sinceLastMs = nowMs - ends.last().atMs
        val intervalMs = (ends.last().atMs - ends.first().atMs).toDouble() / (ends.size - 1)
        if (sinceLastMs > maxOf(SILENT_INTERVALS * intervalMs, LEAST_SILENCE_MS)) return null
        // The first end begins the time that is measured, and frees nothing within it.
        val places = ends.drop(1).sumOf { it.freed.shareOf(need) }
        return if (places > 0) sinceFirstMs / places else null
    }

    /** Places of the size of [need] that the freed capacity amounts to. */
    private fun Resources.shareOf(need: Resources): Double = listOf(
        cpuMillis to need.cpuMillis,
        memoryMib to need.memoryMib,
        accelerators to need.accelerators
    ).filter { (_, needed) -> needed > 0 }
        .minOfOrNull { (freed, needed) -> freed.toDouble() / needed } ?: 0.0

    private companion object {
        /** Several times the run time of the longest class (5 s), so that its ends are seen. */
        const val WINDOW_MS = 15_000L

        /** A rack of 12 workers with 6 runs each ends 50 a second at most. */
        const val MAX_ENDS = 256
        const val MIN_ENDS = 4

        /** Of random intervals, one in 50 is above four times the mean. */
        const val SILENT_INTERVALS = 4.0

        /** Reports arrive up to half a second late while calls get lost. */
        const val LEAST_SILENCE_MS = 500.0
    }
}
