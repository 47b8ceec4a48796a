package dev.jackdawdale.telemetry

import org.apache.logging.log4j.Logger

/** Lines a second that a process writes about its decisions; more are counted, not written. */
private const val LINES_PER_S = 400
private const val MS_PER_S = 1_000

/** Minor lines are written up to this part of the bound. */
private const val MINOR_PART = 8

/**
 * Writes one line for each decision about a piece of work, bounded for each second. What exceeds
 * the bound is counted, and the count is written with the next second. Used on one thread.
 */
internal class DecisionLog(private val log: Logger, private val linesPerS: Int = LINES_PER_S) {
    private var second = 0L
    private var written = 0
    private var dropped = 0

    /**
     * Writes [text] with the id of the work it is about.
     *
     * @param minor the line is left out first: it leaves a part of the bound to the others
     */
    fun line(nowMs: Long, work: String, minor: Boolean = false, text: () -> String) {
        if (!take(nowMs, if (minor) linesPerS / MINOR_PART else linesPerS)) return
        withLogFields(work = work) { log.info(text()) }
    }

    private fun take(nowMs: Long, bound: Int): Boolean {
        val present = nowMs / MS_PER_S
        if (present != second) {
            if (dropped > 0) log.warn("{} decision lines were left out in one second", dropped)
            second = present
            written = 0
            dropped = 0
        }
        if (written < bound) {
            written++
            return true
        }
        dropped++
        return false
    }
}
