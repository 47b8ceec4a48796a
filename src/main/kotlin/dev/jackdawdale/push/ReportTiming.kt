package dev.jackdawdale.push

/**
 * When a leader asks a worker for its lists, and how long the worker may hold the answer back.
 *
 * A lost question hides the ends on its worker until the next one, so questions are shorter while
 * calls get lost. Answers a load in which some calls get no answer or a late one, at the price of
 * more questions in that time only.
 */
internal class ReportTiming(private val settings: PushSettings) {
    private var lostMs: Long? = null

    /** A call to a worker that seemed reachable got no answer. */
    fun callLost(nowMs: Long) {
        lostMs = nowMs
    }

    /**
     * How long the worker may wait for an end.
     *
     * @param isKnown whether its last answer is present, so that only news are of interest
     */
    fun waitMs(isKnown: Boolean, nowMs: Long): Long {
        val lossAgeMs = lostMs?.let { nowMs - it }
        return when {
            !isKnown -> 0
            lossAgeMs != null && lossAgeMs < settings.lossKeptMs -> settings.lossyReportWaitMs
            else -> settings.reportWaitMs
        }
    }

    /** When to ask again after [failures] questions in a row without an answer. */
    fun retryDueMs(failures: Int, nowMs: Long): Long =
        if (failures <= 1) nowMs else nowMs + settings.reportRetryMs
}
