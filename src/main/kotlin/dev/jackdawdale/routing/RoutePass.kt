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

/** A request and the endpoint for it. */
internal data class Choice(
    val work: RequestWork,
    val endpointId: EndpointId,
    val endpointIncarnation: Long
)

/**
 * One call of [route]: later choices must see the effects of earlier ones. Confined to the call.
 *
 * @property timed the routing state with the effects of time only
 */
internal class RoutePass(state: CellState, routing: RoutingState, private val nowMs: Long) {
    val events: MutableList<Event> = mutableListOf()
    var state: CellState = state
        private set
    var current: RoutingState = routing
        private set
    var timed: RoutingState = routing
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

    /** The next request of the service to place, or null when none can be placed now. */
    fun nextChoice(name: ServiceName): Choice? {
        val settings = current.settings
        val pool = current.service(name).pool
        val longFirst = pool.longRunning < (pool.healthySlots * settings.longLeast).toInt()
        val sizes = if (longFirst) longThenShort else shortThenLong
        return sizes.firstNotNullOfOrNull { nextOf(name, it) } ?: nextLate(name)
    }

    private fun nextOf(name: ServiceName, size: SizeClass): Choice? {
        while (hasRoom(name, size)) {
            val customerId = nextCustomer(name, size) ?: return null
            val head = current.service(name).queue(size).headOf(customerId) ?: return null
            val work = state.requests[head.workId] ?: return null
            val isShort = size == SizeClass.SHORT
            if (isLate(work)) {
                move(head.workId, Standing.Late)
            } else if (isShort && current.exceedsTrials(work.spec.runTimeKey)) {
                demote(work.spec.runTimeKey)
            } else {
                val choice = choose(work, size)
                if (choice != null || work.failedOn.isEmpty()) return choice
                // Only this request cannot go to the endpoints that are free; others may.
                move(head.workId, Standing.Paused(nowMs + current.settings.parkMs))
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
        // Few customers can hold this much of the long slots at once, so few are passed over.
        val bound = service.customerLongLimit(current.settings, nowMs)
        val below = order.firstOrNull {
            (service.pool.longByCustomer[it.customerId] ?: 0) < bound
        }
        return below?.customerId ?: first
    }

    /**
     * Half of the runs of a kind are longer than the typical one. Under overload, earliest
     * deadline first serves what is about to be late: with half of the typical run time as the
     * limit, only a third of the capacity did useful work at ten times the demand. A request
     * whose deadline was close from the start is late only after half of its time.
     */
    private fun isLate(work: RequestWork): Boolean {
        val typicalMs = current.runTimes.typicalMs(work.spec.runTimeKey) ?: return false
        val allowedMs = work.spec.deadlineMs - work.acceptedAtMs
        val safeMs = typicalMs * current.settings.lateFactor
        val limitMs = minOf(safeMs, maxOf(typicalMs / 2.0, allowedMs / 2.0))
        return work.spec.deadlineMs - nowMs < limitMs
    }

    /** Late requests that cannot be placed must not keep all others from the spare slots. */
    private fun nextLate(name: ServiceName): Choice? =
        current.service(name).late.asSequence().take(LATE_SCAN).firstNotNullOfOrNull { key ->
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
        timed = timed.demoted(key)
    }

    /** A change by time alone: it also holds when the events of this pass are not appended. */
    private fun move(workId: WorkId, standing: Standing) {
        current = current.moved(workId, standing)
        timed = timed.moved(workId, standing)
    }
}

private const val LATE_SCAN = 16

private val shortThenLong = listOf(SizeClass.SHORT, SizeClass.LONG)

// Looking for short work can make some of it long, so long work comes again.
private val longThenShort = listOf(SizeClass.LONG, SizeClass.SHORT, SizeClass.LONG)
