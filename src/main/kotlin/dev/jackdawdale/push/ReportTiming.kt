package dev.jackdawdale.push

/**
 * Decides when to request reports and how long a worker may delay its report.
 *
 * A lost request hides ended runs until the next request. So while calls get lost or are late, the
 * long polls are shorter, which costs more requests.
 */
internal class ReportTiming(private val settings: PushSettings) {
    private var lostMs: Long? = null

    /** Records that a call to a worker that seemed reachable got no answer. */
    fun callLost(nowMs: Long) {
        lostMs = nowMs
    }

    /**
     * How long the worker may delay its report until a run ends.
     *
     * @param isKnown whether its last report arrived, so that only changes are of interest
     */
    fun waitMs(isKnown: Boolean, nowMs: Long): Long {
        val lossAgeMs = lostMs?.let { nowMs - it }
        return when {
            !isKnown -> 0
            lossAgeMs != null && lossAgeMs < settings.lossWindowMs -> settings.lossyReportWaitMs
            else -> settings.reportWaitMs
        }
    }

    /** Time of the next request after [failures] requests in a row without an answer. */
    fun retryDueMs(failures: Int, nowMs: Long): Long =
        if (failures <= 1) nowMs else nowMs + settings.reportRetryMs
}
