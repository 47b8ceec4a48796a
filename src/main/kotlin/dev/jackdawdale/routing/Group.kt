package dev.jackdawdale.routing

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.estimates.RunTimeKey
import dev.jackdawdale.estimates.RunTimes
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId

/** Long work must not delay short work. */
internal enum class SizeClass { SHORT, LONG }

/** The place of a request among its customer's: urgency, then earliest deadline. */
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
 * Requests of one customer, service and kind. They change their size class together, so a changed
 * estimate costs the same however many of them wait.
 *
 * @property running placed requests of the group
 * @property onTrial no run time was measured yet; only a few may run as short work
 * @property demoted counts as long until measured, see [exceedsTrials]
 * @property declaredMs what the last accepted request declared
 */
internal data class Group(
    val waiting: SortedTree<WaitingKey> = sortedTreeOf(),
    val running: Int = 0,
    val size: SizeClass = SizeClass.SHORT,
    val onTrial: Boolean = true,
    val demoted: Boolean = false,
    val declaredMs: Long? = null
)

/** The next request of the group to start, or null when none may start. */
internal fun Group.head(settings: RoutingSettings): WaitingKey? {
    val held = onTrial && size == SizeClass.SHORT && running >= settings.trialRuns
    return if (held) null else waiting.firstOrNull()
}

/**
 * The group with the size class that [runTimes] gives it. Without a measurement it is long when
 * a declared time is so long that no usual error makes it short, or when it is demoted.
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
