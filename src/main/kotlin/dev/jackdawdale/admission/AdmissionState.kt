package dev.jackdawdale.admission

import dev.jackdawdale.estimates.RunTimes
import dev.jackdawdale.estimates.runTimeKey
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Endpoint
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.freeSlots
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * Limits of the cell that no contract names.
 *
 * @property maxQueuedPerService waiting requests of one service, all customers together
 * @property maxTasksPerJob tasks of one job
 * @property queueRetryMs how soon a caller may try again after a full queue; up to twice as long,
 *     so that refused callers do not return together
 */
internal data class AdmissionSettings(
    val maxQueuedPerService: Int = 50_000,
    val maxTasksPerJob: Int = 10_000,
    val queueRetryMs: Long = 1_000
)

/** What one customer has in the cell. */
internal data class CustomerUsage(
    val queuedRequests: Int = 0,
    val runningRequests: Int = 0,
    val queuedJobs: Int = 0
)

/**
 * What admission remembers beside the replicated state.
 *
 * @property freeSlots slots of active endpoints that no request holds
 * @property unplacedTasks waiting tasks of each job that has any
 */
internal data class AdmissionState(
    val settings: AdmissionSettings = AdmissionSettings(),
    val buckets: PersistentMap<CustomerId, TokenBucket> = persistentHashMapOf(),
    val usage: PersistentMap<CustomerId, CustomerUsage> = persistentHashMapOf(),
    val queues: PersistentMap<ServiceName, ServiceQueue> = persistentHashMapOf(),
    val freeSlots: PersistentMap<ServiceName, Int> = persistentHashMapOf(),
    val unplacedTasks: PersistentMap<WorkId, Int> = persistentHashMapOf(),
    val runTimes: RunTimes = RunTimes()
)

/** An election takes at least this long, and no request is accepted meanwhile. */
private const val ELECTION_MS = 1_000L

/**
 * Rebuilds the state for a new leader. Bursts may have been used under the old leader, so buckets
 * hold only what they gained during the election, unless the cell has never had any work.
 */
internal fun admissionState(
    state: CellState,
    nowMs: Long,
    settings: AdmissionSettings = AdmissionSettings()
): AdmissionState {
    val unused = state.requests.isEmpty() && state.ended.isEmpty()
    var admission = AdmissionState(settings)
    for (contract in state.contracts.values) {
        val gained = TokenBucket(0, nowMs - ELECTION_MS).refilled(contract, nowMs)
        val bucket = if (unused) fullBucket(contract, nowMs) else gained
        admission = admission.withBucket(contract.customerId, bucket)
    }
    for (work in state.requests.values) {
        admission = admission.requestAdded(state, work, 1)
    }
    for (endpoint in state.endpoints.values) {
        admission = admission.slotsChanged(endpoint.info.service, usableSlots(endpoint))
    }
    for (task in state.tasks.values) {
        val customerId = state.jobs[task.workId]?.spec?.customerId ?: continue
        if (task.phase != TaskPhase.WAITING) continue
        admission = admission.unplacedChanged(customerId, task.workId, 1)
    }
    return admission
}

internal fun AdmissionState.usageOf(customerId: CustomerId): CustomerUsage =
    usage[customerId] ?: CustomerUsage()

internal fun AdmissionState.queueOf(service: ServiceName): ServiceQueue =
    queues[service] ?: ServiceQueue()

internal fun AdmissionState.withBucket(
    customerId: CustomerId,
    bucket: TokenBucket
): AdmissionState = copy(buckets = buckets.put(customerId, bucket))

/** Counts [work] in ([sign] 1) or out ([sign] -1), as waiting or running by its placement. */
internal fun AdmissionState.requestAdded(
    state: CellState,
    work: RequestWork,
    sign: Int
): AdmissionState {
    val customerId = work.spec.customerId
    val known = usageOf(customerId)
    if (work.placement != null) {
        val running = known.copy(runningRequests = known.runningRequests + sign)
        return copy(usage = usage.put(customerId, running))
    }
    val queued = known.copy(queuedRequests = known.queuedRequests + sign)
    val weight = state.contracts[customerId]?.weight ?: 1
    val queue = queueOf(work.spec.service)
    val changed = if (sign > 0) {
        queue.plus(customerId, weight, waitingEntry(work))
    } else {
        queue.minus(customerId, weight, work.spec.workId)
    }
    return copy(
        usage = usage.put(customerId, queued),
        queues = queues.put(work.spec.service, changed)
    )
}

private fun AdmissionState.waitingEntry(work: RequestWork): WaitingEntry {
    val runTimeMs = runTimes.typicalMs(work.spec.runTimeKey) ?: 0
    return WaitingEntry(work.spec.deadlineMs - runTimeMs, work.spec.workId)
}

internal fun usableSlots(endpoint: Endpoint?): Int =
    if (endpoint?.phase == EndpointPhase.ACTIVE) maxOf(endpoint.freeSlots, 0) else 0

internal fun AdmissionState.slotsChanged(service: ServiceName, change: Int): AdmissionState {
    if (change == 0) return this
    return copy(freeSlots = freeSlots.put(service, (freeSlots[service] ?: 0) + change))
}

internal fun AdmissionState.unplacedChanged(
    customerId: CustomerId,
    workId: WorkId,
    change: Int
): AdmissionState {
    if (change == 0) return this
    val was = unplacedTasks[workId] ?: 0
    val now = was + change
    val known = usageOf(customerId)
    val jobs = (if (now > 0) 1 else 0) - (if (was > 0) 1 else 0)
    return copy(
        unplacedTasks = if (now >
            0
        ) {
            unplacedTasks.put(workId, now)
        } else {
            unplacedTasks.remove(workId)
        },
        usage = usage.put(customerId, known.copy(queuedJobs = known.queuedJobs + jobs))
    )
}
