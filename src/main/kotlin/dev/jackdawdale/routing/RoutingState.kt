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

/** A work item in the order of a point in time. */
internal data class Timed(val atMs: Long, val workId: WorkId) : Comparable<Timed> {
    override fun compareTo(other: Timed): Int {
        if (atMs != other.atMs) return atMs.compareTo(other.atMs)
        return workId.value.compareTo(other.workId.value)
    }
}

/** Where a waiting request stands. */
internal sealed interface Standing {
    /** In the queue of its group. */
    data object Queued : Standing

    /** Out of the queues until [untilMs]. */
    data class Paused(val untilMs: Long) : Standing

    /** By its measured run time it cannot meet its deadline; it gets slots that are left over. */
    data object Late : Standing
}

/** @property declaredMs run time that its caller declared, or null */
internal data class WaitingWork(
    val group: RunTimeKey,
    val key: WaitingKey,
    val declaredMs: Long?,
    val standing: Standing
)

/**
 * A placed request.
 *
 * @property size class that it counts as now
 * @property onTrial it runs as short work of a kind without a measurement
 * @property chargedAs class under which its customer was charged
 * @property chargedMs slot time that its customer was charged for it
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
 * Routing's view of one service.
 *
 * @property late requests with [Standing.Late]
 */
internal data class ServiceState(
    val short: ClassQueue = ClassQueue(),
    val long: ClassQueue = ClassQueue(),
    val late: SortedTree<WaitingKey> = sortedTreeOf(),
    val pool: EndpointPool = EndpointPool(),
    val shortPeak: ShortPeak = ShortPeak()
)

internal fun ServiceState.queue(size: SizeClass): ClassQueue =
    if (size == SizeClass.SHORT) short else long

internal fun ServiceState.withQueue(size: SizeClass, queue: ClassQueue): ServiceState =
    if (size == SizeClass.SHORT) copy(short = queue) else copy(long = queue)

/** What routing needs of a contract. */
internal data class RunLimit(val maxRunning: Int, val weight: Int)

/**
 * What routing remembers beside the replicated state.
 *
 * @property running placed requests of each customer, over all services
 * @property trials placed requests on trial of each customer and service (the kind is empty)
 * @property deadlines waiting requests by their deadline
 * @property pauses requests with [Standing.Paused] by the end of the pause
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
    val deadlines: SortedTree<Timed> = sortedTreeOf(),
    val pauses: SortedTree<Timed> = sortedTreeOf(),
    val shortRuns: SortedTree<Timed> = sortedTreeOf(),
    val runTimes: RunTimes = RunTimes()
)

/**
 * Rebuilds the state for a new leader. Run times are not known any more, so every kind is on
 * trial again.
 */
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
