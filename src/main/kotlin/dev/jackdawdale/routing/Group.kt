package dev.jackdawdale.routing

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.estimates.RunTimeKey
import dev.jackdawdale.estimates.RunTimes
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId

/** Size classes by run time, kept apart so that long work does not delay short work. */
internal enum class SizeClass { SHORT, LONG }

/** Sort key of a request among those of its customer: urgency, then earliest deadline. */
internal data class WaitingKey(
    val urgency: Int,
    val deadlineMs: Long,
    val acceptedAtMs: Long,
    val workId: WorkId
) : Comparable<WaitingKey> {
    override fun compareTo(other: WaitingKey): Int {
        if (urgency != other.urgency) return urgency.compareTo(other.urgency)
        if (deadlineMs != other.deadlineMs) return deadlineMs.compareTo(other.deadlineMs)
        if (acceptedAtMs != other.acceptedAtMs) return acceptedAtMs.compareTo(other.acceptedAtMs)
        return workId.value.compareTo(other.workId.value)
    }
}

internal val RequestWork.waitingKey: WaitingKey
    get() = WaitingKey(spec.urgency.ordinal, spec.deadlineMs, acceptedAtMs, spec.workId)

/**
 * Requests of one customer, service and kind. They change size class as a group, so the cost of a
 * changed estimate does not depend on how many of them wait.
 *
 * @property running number of placed requests
 * @property onTrial has no measured run time; only a few of its requests may run as short work
 * @property demoted counts as long until measured, see [exceedsTrials]
 * @property declaredMs run time declared by the last queued request, or null
 */
internal data class Group(
    val waiting: SortedTree<WaitingKey> = sortedTreeOf(),
    val running: Int = 0,
    val size: SizeClass = SizeClass.SHORT,
    val onTrial: Boolean = true,
    val demoted: Boolean = false,
    val declaredMs: Long? = null
)

/** The next request of the group to start, or null if none may start. */
internal fun Group.head(settings: RoutingSettings): WaitingKey? {
    val blocked = onTrial && size == SizeClass.SHORT && running >= settings.trialRuns
    return if (blocked) null else waiting.firstOrNull()
}

/**
 * The group with its size class set from [runTimes]. Without a measurement it is long if it is
 * demoted, or if its declared run time is long even when overstated by the usual error.
 */
internal fun Group.classified(
    key: RunTimeKey,
    runTimes: RunTimes,
    settings: RoutingSettings
): Group {
    val measuredMs = runTimes.typicalMs(key)
    val isLong = if (measuredMs != null) {
        measuredMs > settings.shortBoundMs
    } else {
        demoted || (declaredMs ?: 0) > settings.shortBoundMs * settings.declaredFactor
    }
    return copy(
        size = if (isLong) SizeClass.LONG else SizeClass.SHORT,
        onTrial = measuredMs == null
    )
}
