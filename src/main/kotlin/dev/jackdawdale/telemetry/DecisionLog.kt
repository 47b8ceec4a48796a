package dev.jackdawdale.telemetry

import org.apache.logging.log4j.Logger

private const val LINES_PER_S = 400
private const val MS_PER_S = 1_000

/** Minor lines may use at most this fraction (1/n) of the limit. */
private const val MINOR_LIMIT_DIVISOR = 8

/**
 * Logs one line per decision about a work item, up to [linesPerS] lines per second. Further lines
 * are counted, and their number is logged in a later second. Not thread-safe.
 */
internal class DecisionLog(private val log: Logger, private val linesPerS: Int = LINES_PER_S) {
    private var second = 0L
    private var written = 0
    private var dropped = 0

    /**
     * Logs [text] with the id of the work item that it is about.
     *
     * @param minor whether the line is dropped first, so that it does not displace other lines
     */
    fun line(nowMs: Long, work: String, minor: Boolean = false, text: () -> String) {
        if (!tryAcquire(nowMs, if (minor) linesPerS / MINOR_LIMIT_DIVISOR else linesPerS)) return
        withLogFields(work = work) { log.info(text()) }
    }

    private fun tryAcquire(nowMs: Long, limit: Int): Boolean {
        val currentSecond = nowMs / MS_PER_S
        if (currentSecond != second) {
            if (dropped > 0) log.warn("{} decision lines were left out in one second", dropped)
            second = currentSecond
            written = 0
            dropped = 0
        }
        if (written < limit) {
            written++
            return true
        }
        dropped++
        return false
    }
}
