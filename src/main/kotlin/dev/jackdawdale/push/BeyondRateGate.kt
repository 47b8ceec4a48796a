package dev.jackdawdale.push

/**
 * Decides when the steps of jobs beyond their customer's rate may start and call for advice.
 *
 * Answers a customer that sends several times its rate for seconds: these jobs earn nothing, and a
 * wide one occupies workers for seconds and a calling host for more than half a second. They start
 * when no other step has waited for [QUIET_MS], or when enough of the cell and of its calling hosts
 * is idle. Steps that are too late to be of use don't count as waiting, so that one that can never
 * start doesn't hold these jobs back forever.
 */
internal class BeyondRateGate {
    private var othersWaitedMs: Long? = null

    /** Records whether a step within its customer's rate waits that can still be of use. */
    fun observe(othersWait: Boolean, nowMs: Long) {
        if (othersWait) othersWaitedMs = nowMs
    }

    /** Whether these steps are treated as all others. */
    fun isOpen(nowMs: Long): Boolean = othersWaitedMs?.let { nowMs - it >= QUIET_MS } ?: true

    /**
     * Whether one of these steps may start while others wait.
     *
     * @param freeShare idle part of the workers' processors
     * @param idleHosts calling hosts without a call, of [hosts]
     */
    fun isSpare(freeShare: Double, idleHosts: Int, hosts: Int): Boolean =
        freeShare >= SPARE_SHARE && idleHosts * SPARE_HOSTS >= hosts

    private companion object {
        /** Jobs arrive several times a second under load; a second without one is its end. */
        const val QUIET_MS = 1_000L

        /** More than the load grows within the longest usual run of 5 s. */
        const val SPARE_SHARE = 0.25

        /** One host in this many has to be idle: short calls need some at any moment. */
        const val SPARE_HOSTS = 2
    }
}
