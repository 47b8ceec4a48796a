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
 * Limits of the cell that apply beside those of the contracts.
 *
 * @property maxQueuedPerService waiting requests of one service, all customers together
 * @property maxTasksPerJob tasks of one job
 * @property queueRetryMs shortest retry delay after a full queue; delays are spread up to twice
 *     that, so that refused callers do not retry at the same time
 */
internal data class AdmissionSettings(
    val maxQueuedPerService: Int = 50_000,
    val maxTasksPerJob: Int = 10_000,
    val queueRetryMs: Long = 1_000
)

/** Queued and running work of one customer. */
internal data class CustomerUsage(
    val queuedRequests: Int = 0,
    val runningRequests: Int = 0,
    val queuedJobs: Int = 0
)

/**
 * Soft state of admission: counts and indexes over the replicated state, and token buckets.
 *
 * @property freeSlots slots of active endpoints that no request holds
 * @property unplacedTasks number of waiting tasks of each job that has any
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

/** Shortest duration of an election, during which no request is accepted. */
private const val ELECTION_MS = 1_000L

/**
 * Rebuilds the admission state of a new leader. Customers may have used their burst under the old
 * leader, so buckets start with the refill of one election, unless the cell never had any work.
 */
internal fun admissionState(
    state: CellState,
    nowMs: Long,
    settings: AdmissionSettings = AdmissionSettings()
): AdmissionState {
    val neverUsed = state.requests.isEmpty() && state.ended.isEmpty()
    var admission = AdmissionState(settings)
    for (contract in state.contracts.values) {
        val gained = TokenBucket(0, nowMs - ELECTION_MS).refilled(contract, nowMs)
        val bucket = if (neverUsed) fullBucket(contract, nowMs) else gained
        admission = admission.withBucket(contract.customerId, bucket)
    }
    for (work in state.requests.values) {
        admission = admission.withRequestCounted(state, work, 1)
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

/** Adds [work] ([sign] 1) or removes it ([sign] -1): running if it is placed, else waiting. */
internal fun AdmissionState.withRequestCounted(
    state: CellState,
    work: RequestWork,
    sign: Int
): AdmissionState {
    val customerId = work.spec.customerId
    val current = usageOf(customerId)
    if (work.placement != null) {
        val running = current.copy(runningRequests = current.runningRequests + sign)
        return copy(usage = usage.put(customerId, running))
    }
    val queued = current.copy(queuedRequests = current.queuedRequests + sign)
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
    val current = usageOf(customerId)
    val jobs = (if (now > 0) 1 else 0) - (if (was > 0) 1 else 0)
    return copy(
        unplacedTasks = if (now >
            0
        ) {
            unplacedTasks.put(workId, now)
        } else {
            unplacedTasks.remove(workId)
        },
        usage = usage.put(customerId, current.copy(queuedJobs = current.queuedJobs + jobs))
    )
}
