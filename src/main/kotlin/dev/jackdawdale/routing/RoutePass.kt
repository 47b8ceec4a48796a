package dev.jackdawdale.routing

import dev.jackdawdale.estimates.RunTimeKey
import dev.jackdawdale.estimates.runTimeKey
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.apply

/** A request and the endpoint selected for it. */
internal data class Choice(
    val work: RequestWork,
    val endpointId: EndpointId,
    val endpointIncarnation: Long
)

/**
 * The working state of one call of [route], so that later choices see the effects of earlier ones.
 *
 * @property current the routing state with the effects of time and of [events]
 * @property withoutEvents the routing state with the effects of time only
 */
internal class RoutePass(state: CellState, routing: RoutingState, private val nowMs: Long) {
    val events: MutableList<Event> = mutableListOf()
    var state: CellState = state
        private set
    var current: RoutingState = routing
        private set
    var withoutEvents: RoutingState = routing
        private set

    fun append(event: Event) {
        val after = state.apply(event, nowMs)
        current = current.observe(event, state, after, nowMs)
        state = after
        events += event
    }

    fun nextPastDeadline(): RequestWork? {
        val first = current.deadlines.firstOrNull() ?: return null
        return if (first.atMs <= nowMs) state.requests[first.workId] else null
    }

    /** The next request of the service to place, or null if none can be placed now. */
    fun nextChoice(name: ServiceName): Choice? {
        val settings = current.settings
        val pool = current.service(name).pool
        val longFirst = pool.longRunning < (pool.healthySlots * settings.longReservedShare).toInt()
        val sizes = if (longFirst) longThenShort else shortThenLong
        return sizes.firstNotNullOfOrNull { nextOfSize(name, it) } ?: nextLate(name)
    }

    private fun nextOfSize(name: ServiceName, size: SizeClass): Choice? {
        while (hasRoom(name, size)) {
            val customerId = nextCustomer(name, size) ?: return null
            val head = current.service(name).queue(size).headOf(customerId) ?: return null
            val work = state.requests[head.workId] ?: return null
            val isShort = size == SizeClass.SHORT
            if (isLate(work)) {
                move(head.workId, WaitStatus.Late)
            } else if (isShort && current.exceedsTrials(work.spec.runTimeKey)) {
                demote(work.spec.runTimeKey)
            } else {
                val choice = choose(work, size)
                if (choice != null || work.failedOn.isEmpty()) return choice
                // The free endpoints are excluded for this request only; others may use them.
                move(head.workId, WaitStatus.Paused(nowMs + current.settings.busyBackoffMs))
            }
        }
        return null
    }

    private fun hasRoom(name: ServiceName, size: SizeClass): Boolean {
        val service = current.service(name)
        val pool = service.pool
        val probeDue = pool.suspects.firstOrNull().let { it != null && it.retryAtMs <= nowMs }
        return when (size) {
            SizeClass.SHORT -> pool.free.isNotEmpty() || probeDue
            SizeClass.LONG -> pool.longRunning < service.longLimit(current.settings, nowMs) &&
                (pool.freeForLong.isNotEmpty() || probeDue)
        }
    }

    private fun nextCustomer(name: ServiceName, size: SizeClass): CustomerId? {
        val service = current.service(name)
        val order = service.queue(size).order
        val first = order.firstOrNull()?.customerId
        if (size == SizeClass.SHORT) return first
        // Few customers can reach this share of the long slots at once, so the scan is short.
        val bound = service.customerLongLimit(current.settings, nowMs)
        val below = order.firstOrNull {
            (service.pool.longByCustomer[it.customerId] ?: 0) < bound
        }
        return below?.customerId ?: first
    }

    /**
     * Whether the request is likely to miss its deadline. Half of the runs of a kind exceed its
     * typical run time, and under overload earliest deadline first prefers nearly late requests:
     * with a limit of half the typical run time, only a third of the capacity did useful work at
     * ten times the demand. A request accepted close to its deadline is late after half that time.
     */
    private fun isLate(work: RequestWork): Boolean {
        val typicalMs = current.runTimes.typicalMs(work.spec.runTimeKey) ?: return false
        val allowedMs = work.spec.deadlineMs - work.acceptedAtMs
        val safeMs = typicalMs * current.settings.lateFactor
        val limitMs = minOf(safeMs, maxOf(typicalMs / 2.0, allowedMs / 2.0))
        return work.spec.deadlineMs - nowMs < limitMs
    }

    /** Scans past late requests that cannot be placed, so that they do not block the others. */
    private fun nextLate(name: ServiceName): Choice? =
        current.service(name).late.asSequence().take(MAX_LATE_SCANNED).firstNotNullOfOrNull { key ->
            state.requests[key.workId]?.let { lateChoice(name, it) }
        }

    private fun lateChoice(name: ServiceName, work: RequestWork): Choice? {
        if (!current.mayRun(work.spec.customerId)) return null
        val size = current.sizeOf(work.spec.runTimeKey)
        return if (hasRoom(name, size)) choose(work, size) else null
    }

    private fun choose(work: RequestWork, size: SizeClass): Choice? {
        val pool = current.service(work.spec.service).pool
        val endpointId = pool.choose(size, work.spec.idempotent, work.failedOn, nowMs)
        val load = pool.loads[endpointId] ?: return null
        return Choice(work, load.endpointId, load.incarnation)
    }

    private fun demote(key: RunTimeKey) {
        current = current.demoted(key)
        withoutEvents = withoutEvents.demoted(key)
    }

    /** Changes [withoutEvents] too: the move depends on time, not on events of this pass. */
    private fun move(workId: WorkId, status: WaitStatus) {
        current = current.moved(workId, status)
        withoutEvents = withoutEvents.moved(workId, status)
    }
}

private const val MAX_LATE_SCANNED = 16

private val shortThenLong = listOf(SizeClass.SHORT, SizeClass.LONG)

// The search for short work can demote some of it to long, so long work is tried again.
private val longThenShort = listOf(SizeClass.LONG, SizeClass.SHORT, SizeClass.LONG)
