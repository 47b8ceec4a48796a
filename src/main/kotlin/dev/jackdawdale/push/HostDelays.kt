package dev.jackdawdale.push

import dev.jackdawdale.model.HostId

/**
 * Measures for each entry host the time that it adds to the adviser's own time for a call.
 *
 * Answers entry hosts of unequal processors, and machines that slow down or freeze for seconds: a
 * call there keeps a step waiting, while other hosts would have been answered. Used on the control
 * thread only.
 */
internal class HostDelays {
    private val samples = HashMap<HostId, ArrayDeque<Sample>>()

    /** Records a call that was answered, or given up, [tookMs] after it was sent. */
    fun record(hostId: HostId, tookMs: Long, expectedMs: Double, nowMs: Long) {
        val ofHost = samples.getOrPut(hostId) { ArrayDeque() }
        if (ofHost.size == KEPT_SAMPLES) ofHost.removeFirst()
        ofHost += Sample(nowMs, (tookMs - expectedMs).coerceAtLeast(0.0))
    }

    /** Records a call that the host could not make. */
    fun recordFailure(hostId: HostId, nowMs: Long) =
        record(hostId, FAILURE_MS, expectedMs = 0.0, nowMs)

    /**
     * Time that the host is expected to add, or null without recent calls: the upper quartile, so
     * that one slow call among many decides nothing.
     */
    fun addedMs(hostId: HostId, nowMs: Long): Double? {
        val recent = samples[hostId]?.filter { nowMs - it.atMs <= RECENT_MS }
            ?.map { it.addedMs }?.sorted()
        if (recent.isNullOrEmpty()) return null
        return recent[(recent.size * QUARTILE).toInt().coerceAtMost(recent.size - 1)]
    }

    /**
     * The hosts in the order in which they get calls, those that add the least first. Hosts without
     * recent calls count as usual ones, so a slow host is tried again after a while.
     */
    fun ranked(hosts: Collection<HostId>, nowMs: Long): List<RankedHost> {
        val added = hosts.associateWith { addedMs(it, nowMs) }
        val usualMs = added.values.map { it ?: 0.0 }.sorted().getOrNull(hosts.size / 2) ?: 0.0
        val slowMs = usualMs * SLOW_FACTOR + SLOW_SLACK_MS
        return hosts.map { hostId ->
            val ownMs = added.getValue(hostId)
            RankedHost(hostId, ownMs ?: usualMs, isProbe = ownMs == null, (ownMs ?: 0.0) > slowMs)
        }.sortedWith(compareBy({ it.isSlow }, { (it.addedMs / STEP_MS).toLong() }, { it.isProbe }))
    }

    private class Sample(val atMs: Long, val addedMs: Double)

    private companion object {
        const val KEPT_SAMPLES = 8
        const val QUARTILE = 0.75

        /** Machines slow down for seconds; a host without calls for this time is tried. */
        const val RECENT_MS = 6_000L

        /** A host that can't reach the adviser answers at once, but helps no step. */
        const val FAILURE_MS = 2_000L

        /** A host counts as slow that adds more than this multiple of what most hosts add. */
        const val SLOW_FACTOR = 3.0

        /** Differences below the time of some passes are noise. */
        const val SLOW_SLACK_MS = 60.0

        /** Hosts that differ by less are equal, so that not always the same ones are used. */
        const val STEP_MS = 20.0
    }
}

/**
 * A host and the time that it adds to a call.
 *
 * @property isProbe it had no recent calls, so the time is that of the other hosts
 * @property isSlow it adds several times as much as most hosts
 */
internal data class RankedHost(
    val hostId: HostId,
    val addedMs: Double,
    val isProbe: Boolean,
    val isSlow: Boolean
)

/**
 * Takes the host for the next call from [free], or null if none is left.
 *
 * A long call goes to a host that adds little. A short one may try a host without recent calls,
 * and slow hosts get only short calls while other hosts work: a long call that is lost there costs
 * as much as many short ones.
 */
internal fun takeHost(
    free: MutableList<RankedHost>,
    length: CallLength,
    hasOtherHosts: Boolean
): HostId? {
    val mayUseSlow = length == CallLength.SHORT || !hasOtherHosts
    val index = free.indexOfFirst { mayUseSlow || !it.isSlow }
    return if (index < 0) null else free.removeAt(index).hostId
}
