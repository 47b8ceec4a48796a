package dev.jackdawdale.routing

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.estimates.RunTimeKey
import dev.jackdawdale.estimates.RunTimes
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.WorkId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Sort key of a work item by a point in time. */
internal data class TimeKey(val atMs: Long, val workId: WorkId) : Comparable<TimeKey> {
    override fun compareTo(other: TimeKey): Int {
        if (atMs != other.atMs) return atMs.compareTo(other.atMs)
        return workId.value.compareTo(other.workId.value)
    }
}

/** Status of a waiting request. */
internal sealed interface WaitStatus {
    /** In the queue of its group. */
    data object Queued : WaitStatus

    /** Out of the queues until [untilMs]. */
    data class Paused(val untilMs: Long) : WaitStatus

    /** Likely to miss its deadline by its measured run time; it only gets spare slots. */
    data object Late : WaitStatus
}

/** @property declaredMs run time declared by the caller, or null */
internal data class WaitingWork(
    val group: RunTimeKey,
    val key: WaitingKey,
    val declaredMs: Long?,
    val status: WaitStatus
)

/**
 * A placed request.
 *
 * @property size size class that it currently counts as
 * @property onTrial runs as short work although its kind has no measured run time
 * @property chargedAs size class under which its customer was charged
 * @property chargedMs weighted slot time charged to its customer
 */
internal data class PlacedRun(
    val group: RunTimeKey,
    val endpointId: EndpointId,
    val placedAtMs: Long,
    val size: SizeClass,
    val onTrial: Boolean,
    val chargedAs: SizeClass,
    val chargedMs: Double
)

/**
 * The routing state of one service.
 *
 * @property late requests with [WaitStatus.Late]
 */
internal data class ServiceState(
    val short: FairQueue = FairQueue(),
    val long: FairQueue = FairQueue(),
    val late: SortedTree<WaitingKey> = sortedTreeOf(),
    val pool: EndpointPool = EndpointPool(),
    val shortPeak: ShortPeak = ShortPeak()
)

internal fun ServiceState.queue(size: SizeClass): FairQueue =
    if (size == SizeClass.SHORT) short else long

internal fun ServiceState.withQueue(size: SizeClass, queue: FairQueue): ServiceState =
    if (size == SizeClass.SHORT) copy(short = queue) else copy(long = queue)

/** The terms of a contract that routing uses. */
internal data class RunLimit(val maxRunning: Int, val weight: Int)

/**
 * The leader's routing state, which is not replicated.
 *
 * @property running number of placed requests of each customer, over all services
 * @property trials number of placed requests on trial, by customer and service (empty kind)
 * @property deadlines waiting requests by their deadline
 * @property pauses requests with [WaitStatus.Paused] by the end of the pause
 * @property shortRuns placed short requests by the time at which they count as long
 */
internal data class RoutingState(
    val settings: RoutingSettings = RoutingSettings(),
    val services: PersistentMap<ServiceName, ServiceState> = persistentHashMapOf(),
    val groups: PersistentMap<RunTimeKey, Group> = persistentHashMapOf(),
    val waiting: PersistentMap<WorkId, WaitingWork> = persistentHashMapOf(),
    val placed: PersistentMap<WorkId, PlacedRun> = persistentHashMapOf(),
    val running: PersistentMap<CustomerId, Int> = persistentHashMapOf(),
    val limits: PersistentMap<CustomerId, RunLimit> = persistentHashMapOf(),
    val trials: PersistentMap<RunTimeKey, Int> = persistentHashMapOf(),
    val deadlines: SortedTree<TimeKey> = sortedTreeOf(),
    val pauses: SortedTree<TimeKey> = sortedTreeOf(),
    val shortRuns: SortedTree<TimeKey> = sortedTreeOf(),
    val runTimes: RunTimes = RunTimes()
)

/** Rebuilds the state for a new leader. Without known run times, every kind is on trial again. */
internal fun routingState(
    state: CellState,
    nowMs: Long,
    settings: RoutingSettings = RoutingSettings()
): RoutingState {
    var routing = RoutingState(settings)
    for (contract in state.contracts.values) routing = routing.withLimit(contract)
    for (endpoint in state.endpoints.values) {
        routing = routing.endpointChanged(endpoint.info.endpointId, CellState(), state)
    }
    for (work in state.requests.values.sortedBy { it.placement?.token?.value ?: 0 }) {
        val placement = work.placement
        routing = if (placement == null) {
            routing.enqueued(work, nowMs)
        } else {
            routing.started(work, placement, SizeClass.SHORT)
        }
    }
    return routing.advanced(nowMs)
}
