package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.tasksOf
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus

/**
 * Contact of the leader with a worker.
 *
 * @property leaseUntilMs expiry of the latest lease granted to the worker
 * @property leaving the worker itself requested its drain
 * @property overuseStopMs when a task on the worker was last stopped for overuse
 */
internal data class WorkerContact(
    val lastHeardMs: Long,
    val leaseUntilMs: Long,
    val leaving: Boolean = false,
    val overuseStopMs: Long = 0
)

/** One attempt of a task. */
internal data class TaskAttempt(val taskId: TaskId, val token: FencingToken)

/** A task that failed on a worker, with its job. */
internal data class FailedTask(val taskId: TaskId, val workId: WorkId)

/**
 * Failures of a job.
 *
 * @property mostFailures highest number of failures of one of its tasks
 * @property crashedOn workers on which one of its tasks failed soon after its start
 * @property lastDetail detail that the worker reported with the last failure
 */
internal data class JobFailures(
    val mostFailures: Int = 0,
    val crashedOn: PersistentSet<WorkerId> = persistentHashSetOf(),
    val lastDetail: String = ""
)

/**
 * Soft state of the recovery of tasks.
 *
 * @property use resources counted for the tasks of each customer
 * @property timeLimits started attempts by the second in which their time limit expires
 * @property checkedSec last second whose time limits were checked
 * @property changedJobs jobs to be checked for their end, in order
 * @property oversized jobs too large for any known worker, with the time of their acceptance
 * @property capacities capacities of all workers ever seen by this leader
 * @property workerFailures tasks that failed on a worker since its last success
 * @property missing tasks that their workers did not report, with the time of the first omission
 * @property overusing tasks that use more than is counted, with the time of the first report
 * @property quarantined workers in quarantine, with the time of its start
 */
internal data class TaskRecoveryState(
    val settings: TaskRecoverySettings = TaskRecoverySettings(),
    val contacts: PersistentMap<WorkerId, WorkerContact> = persistentHashMapOf(),
    val use: PersistentMap<CustomerId, Resources> = persistentHashMapOf(),
    val timeLimits: PersistentMap<Long, PersistentSet<TaskAttempt>> = persistentHashMapOf(),
    val checkedSec: Long = 0,
    val changedJobs: PersistentSet<WorkId> = persistentSetOf(),
    val oversized: PersistentMap<WorkId, Long> = persistentMapOf(),
    val capacities: PersistentSet<Resources> = persistentHashSetOf(),
    val workerFailures: PersistentMap<WorkerId, PersistentSet<FailedTask>> = persistentHashMapOf(),
    val jobFailures: PersistentMap<WorkId, JobFailures> = persistentHashMapOf(),
    val missing: PersistentMap<TaskId, Long> = persistentHashMapOf(),
    val overusing: PersistentMap<TaskId, Long> = persistentHashMapOf(),
    val draining: PersistentSet<WorkerId> = persistentHashSetOf(),
    val quarantined: PersistentMap<WorkerId, Long> = persistentHashMapOf(),
    val dedupMovedAtMs: Long = 0
)

/**
 * Builds the recovery state of a new leader. Every lease is treated as renewed now, because the
 * former leader may have renewed it just before.
 */
internal fun taskRecoveryState(
    state: CellState,
    nowMs: Long,
    settings: TaskRecoverySettings = TaskRecoverySettings()
): TaskRecoveryState {
    val empty = TaskRecoveryState(settings, checkedSec = nowMs / MS_PER_SEC)
    val initial = state.workers.values.fold(empty) { all, worker -> all.withWorker(worker, nowMs) }
    return state.jobs.values.fold(initial) { all, job ->
        val changed = all.copy(changedJobs = all.changedJobs + job.spec.workId)
            .recordIfOversized(job.spec, nowMs)
        state.tasksOf(job).fold(changed) { sum, task ->
            val counted = task.placement?.counted ?: return@fold sum.recordFailures(task)
            val customerId = job.spec.customerId
            val held = (sum.use[customerId] ?: Resources()) + counted
            val started = if (task.phase == TaskPhase.PLACED) sum else sum.withLimit(job.spec, task)
            started.copy(use = sum.use.put(customerId, held)).recordFailures(task)
        }
    }
}

private fun TaskRecoveryState.withWorker(worker: Worker, nowMs: Long): TaskRecoveryState {
    val id = worker.info.workerId
    val contact = WorkerContact(nowMs, nowMs + settings.leaseMs)
    return copy(
        contacts = contacts.put(id, contact),
        capacities = capacities + worker.info.capacity,
        draining = if (worker.phase == WorkerPhase.DRAINING) draining + id else draining,
        quarantined =
        if (worker.phase == WorkerPhase.QUARANTINED) quarantined.put(id, nowMs) else quarantined
    )
}

/** The recovery state after the leader sent a reply that renews the lease of [workerId]. */
internal fun leaseGranted(
    recovery: TaskRecoveryState,
    workerId: WorkerId,
    nowMs: Long
): TaskRecoveryState {
    val contact = recovery.contacts[workerId] ?: return recovery
    val untilMs = maxOf(contact.leaseUntilMs, nowMs + recovery.settings.leaseMs)
    val renewed = contact.copy(leaseUntilMs = untilMs)
    return recovery.copy(contacts = recovery.contacts.put(workerId, renewed))
}

/** True when some worker that this leader has seen could hold a task of size [need]. */
internal fun TaskRecoveryState.fitsSomeWorker(need: Resources): Boolean =
    capacities.any { need.fitsInto(it) }

internal const val MS_PER_SEC = 1_000L

/** Applies [change] to the contact of a known worker. */
internal fun TaskRecoveryState.updateContact(
    workerId: WorkerId,
    change: (WorkerContact) -> WorkerContact
): TaskRecoveryState {
    val contact = contacts[workerId] ?: return this
    return copy(contacts = contacts.mutate { it[workerId] = change(contact) })
}
