package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.tasksOf
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.plus

private const val MAX_DETAIL_CHARS = 200

/** Limit of failed tasks kept per worker; more would not change the decision to quarantine. */
private const val MAX_FAILED_TASKS = 16

/** The recovery state after [event], which changed the cell from [before] to [after]. */
internal fun TaskRecoveryState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): TaskRecoveryState = when (event) {
    is Event.JobAccepted -> recordIfOversized(event.spec, nowMs)
    is Event.JobEnded -> observeJobEnded(event, before)
    is Event.TaskPlaced -> observeUsage(event.taskId, before, after)
    is Event.TaskAllocationChanged -> observeUsage(event.taskId, before, after)
    is Event.TaskStarted -> observeStart(event.taskId, after)
    is Event.TaskLost -> observeUsage(event.taskId, before, after)
        .released(event.taskId, before, after)
    is Event.TaskEnded -> observeUsage(event.taskId, before, after)
        .observeResult(event, before, after, nowMs)
        .released(event.taskId, before, after)
    is Event.CancelRequested -> copy(changedJobs = changedJobs + event.workId)
    is Event.WorkerJoined -> observeJoined(event, before, nowMs)
    is Event.WorkerPhaseChanged -> observePhase(event.workerId, after, nowMs)
    else -> this
}

internal fun TaskRecoveryState.recordIfOversized(spec: JobSpec, nowMs: Long): TaskRecoveryState =
    if (fitsSomeWorker(spec.perTask)) {
        this
    } else {
        copy(oversized = oversized.put(spec.workId, nowMs))
    }

internal fun TaskRecoveryState.recordFailures(task: Task): TaskRecoveryState {
    val known = jobFailures[task.workId] ?: JobFailures()
    if (task.failures <= known.mostFailures) return this
    return copy(jobFailures = jobFailures.put(task.workId, known.copy(task.failures)))
}

/** Records when the time limit of a started task expires. */
internal fun TaskRecoveryState.withLimit(spec: JobSpec, task: Task): TaskRecoveryState {
    val limitMs = spec.timeLimitMs ?: return this
    val placement = task.placement ?: return this
    val startedAtMs = placement.startedAtMs ?: return this
    val expiresAtMs = startedAtMs + limitMs + settings.timeLimitGraceMs
    val sec = maxOf(expiresAtMs / MS_PER_SEC, checkedSec) + 1
    val attempts = timeLimits[sec] ?: persistentHashSetOf()
    val more = attempts + TaskAttempt(task.taskId, placement.token)
    return copy(timeLimits = timeLimits.put(sec, more))
}

private fun TaskRecoveryState.observeStart(taskId: TaskId, after: CellState): TaskRecoveryState {
    val task = after.tasks[taskId] ?: return this
    val job = after.jobs[task.workId] ?: return this
    return withLimit(job.spec, task)
}

private fun TaskRecoveryState.observeUsage(
    taskId: TaskId,
    before: CellState,
    after: CellState
): TaskRecoveryState {
    val task = after.tasks[taskId] ?: return this
    val job = after.jobs[task.workId] ?: return this
    val old = before.tasks[taskId]?.placement?.counted ?: Resources()
    val new = task.placement?.counted ?: Resources()
    if (old == new) return this
    val held = (use[job.spec.customerId] ?: Resources()) - old + new
    return copy(use = use.put(job.spec.customerId, held))
}

/** Drops the state of an attempt that no longer holds its worker. */
private fun TaskRecoveryState.released(
    taskId: TaskId,
    before: CellState,
    after: CellState
): TaskRecoveryState {
    val old = before.tasks[taskId] ?: return this
    if (after.tasks[taskId]?.placement != null) return this
    val cleared = copy(
        changedJobs = changedJobs + old.workId,
        missing = missing - taskId,
        overusing = overusing - taskId
    )
    val workerId = old.placement?.workerId ?: return cleared
    return if (workerId in after.workers) cleared else cleared.forgetWorker(workerId)
}

private fun TaskRecoveryState.forgetWorker(workerId: WorkerId) = copy(
    contacts = contacts - workerId,
    workerFailures = workerFailures - workerId,
    draining = draining - workerId,
    quarantined = quarantined - workerId
)

private fun TaskRecoveryState.observeJobEnded(
    event: Event.JobEnded,
    before: CellState
): TaskRecoveryState {
    val job = before.jobs[event.workId] ?: return this
    val held = before.tasksOf(job).mapNotNull { it.placement?.counted }
        .fold(use[job.spec.customerId] ?: Resources()) { sum, counted -> sum - counted }
    val ended = copy(
        use = use.put(job.spec.customerId, held),
        changedJobs = changedJobs - event.workId,
        oversized = oversized - event.workId,
        jobFailures = jobFailures - event.workId
    )
    if (event.outcome == Outcome.Succeeded) return ended
    return ended.clearFailures(event.workId, job.failedWorkers)
}

private fun TaskRecoveryState.observeResult(
    event: Event.TaskEnded,
    before: CellState,
    after: CellState,
    nowMs: Long
): TaskRecoveryState {
    val old = before.tasks[event.taskId] ?: return this
    val placement = old.placement?.takeIf { it.token == event.token } ?: return this
    if (event.result == TaskResult.SUCCEEDED) {
        return copy(workerFailures = workerFailures - placement.workerId)
    }
    if (event.result != TaskResult.FAILED) return this
    val known = jobFailures[old.workId] ?: JobFailures()
    val ranMs = placement.startedAtMs?.let { nowMs - it } ?: 0
    val crashed = ranMs < settings.stableRunMs
    val updated = JobFailures(
        mostFailures = maxOf(known.mostFailures, old.failures + 1),
        crashedOn = if (crashed) known.crashedOn + placement.workerId else persistentHashSetOf(),
        lastDetail = event.detail.take(MAX_DETAIL_CHARS)
    )
    val result = copy(jobFailures = jobFailures.put(old.workId, updated))
    if (placement.stopReason == StopReason.TIME_LIMIT) return result
    return result.countFailure(old, placement.workerId, after)
}

/** Counts a failure against the worker, unless the job fails on other workers as well. */
private fun TaskRecoveryState.countFailure(
    task: Task,
    workerId: WorkerId,
    after: CellState
): TaskRecoveryState {
    val job = after.jobs[task.workId] ?: return this
    if (job.failedWorkers.size > 1 && job.succeededTasks == 0) {
        return clearFailures(task.workId, job.failedWorkers)
    }
    val failed = workerFailures[workerId] ?: persistentHashSetOf()
    if (failed.size >= MAX_FAILED_TASKS) return this
    val more = failed + FailedTask(task.taskId, task.workId)
    return copy(workerFailures = workerFailures.put(workerId, more))
}

private fun TaskRecoveryState.clearFailures(
    workId: WorkId,
    workerIds: Set<WorkerId>
): TaskRecoveryState = workerIds.fold(this) { all, workerId ->
    val failed = all.workerFailures[workerId] ?: return@fold all
    val rest = failed.removeAll { it.workId == workId }
    val remaining = if (rest.isEmpty()) {
        all.workerFailures - workerId
    } else {
        all.workerFailures.put(workerId, rest)
    }
    all.copy(workerFailures = remaining)
}

private fun TaskRecoveryState.observeJoined(
    event: Event.WorkerJoined,
    before: CellState,
    nowMs: Long
): TaskRecoveryState {
    val id = event.info.workerId
    val known = before.workers[id]
    val withCapacity = copy(capacities = capacities + event.info.capacity)
    val sameProcess = known != null &&
        known.phase != WorkerPhase.LOST &&
        known.info.incarnation == event.info.incarnation
    if (sameProcess && id in contacts) return withCapacity
    val leaving = contacts[id]?.leaving ?: false
    val contact = WorkerContact(nowMs, nowMs + settings.leaseMs, leaving)
    return withCapacity.copy(contacts = withCapacity.contacts.put(id, contact))
}

private fun TaskRecoveryState.observePhase(
    workerId: WorkerId,
    after: CellState,
    nowMs: Long
): TaskRecoveryState {
    val phase = after.workers[workerId]?.phase ?: return forgetWorker(workerId)
    return copy(
        draining =
        if (phase == WorkerPhase.DRAINING) draining + workerId else draining - workerId,
        quarantined = when {
            phase != WorkerPhase.QUARANTINED -> quarantined - workerId
            workerId in quarantined -> quarantined
            else -> quarantined.put(workerId, nowMs)
        },
        workerFailures =
        if (phase == WorkerPhase.ACTIVE) workerFailures - workerId else workerFailures
    )
}
