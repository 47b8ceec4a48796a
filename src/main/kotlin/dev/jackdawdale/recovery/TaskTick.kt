package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import kotlinx.collections.immutable.minus

/**
 * The result of one tick.
 *
 * @property recovery new soft state; the caller must still pass [events] to `observe`
 */
internal data class TaskTick(val events: List<Event>, val recovery: TaskRecoveryState)

/** Decides the periodic changes. The work per tick is bounded. */
internal fun decideTick(state: CellState, recovery: TaskRecoveryState, nowMs: Long): TaskTick {
    val draft = TaskDraft(state, recovery, nowMs)
    draft.releaseSilentWorkers(nowMs)
    draft.stopOverdueTasks(nowMs)
    draft.moveServicesOffDrainingWorkers()
    draft.quarantineSuspects(nowMs)
    draft.endOversizedJobs(nowMs)
    draft.checkChangedJobs(nowMs)
    draft.moveDedupWindow(nowMs)
    return TaskTick(draft.events, draft.recovery)
}

private fun TaskDraft.releaseSilentWorkers(nowMs: Long) {
    var budget = recovery.settings.maxLostPerTick
    for ((workerId, contact) in recovery.contacts) {
        if (budget <= 0) return
        if (nowMs < contact.leaseUntilMs + recovery.settings.leaseMarginMs) continue
        val worker = state.workers[workerId] ?: continue
        budget -= releaseSilent(worker, contact, budget)
    }
}

/** Marks a silent worker as lost and releases up to [budget] of its tasks; returns how many. */
private fun TaskDraft.releaseSilent(worker: Worker, contact: WorkerContact, budget: Int): Int {
    val info = worker.info
    val drainedByOperator = worker.phase == WorkerPhase.DRAINING && !contact.leaving
    if (worker.phase != WorkerPhase.LOST && !drainedByOperator) {
        emit(Event.WorkerPhaseChanged(info.workerId, info.incarnation, WorkerPhase.LOST))
    }
    if (!info.enforcesLeases) return 0
    val released = worker.taskIds.take(budget).mapNotNull { state.tasks[it] }
    for (task in released) lose(task, "lease of worker ${info.workerId} expired")
    return released.size
}

/** Releases all tasks of a worker that an operator declares lost. */
internal fun decideWorkerLost(
    state: CellState,
    recovery: TaskRecoveryState,
    workerId: WorkerId,
    nowMs: Long
): TaskTick {
    val worker = state.workers[workerId] ?: return TaskTick(emptyList(), recovery)
    val draft = TaskDraft(state, recovery, nowMs)
    val info = worker.info
    draft.emit(Event.WorkerPhaseChanged(workerId, info.incarnation, WorkerPhase.LOST))
    for (taskId in worker.taskIds) {
        val task = state.tasks[taskId] ?: continue
        draft.lose(task, "worker $workerId confirmed lost")
    }
    return TaskTick(draft.events, draft.recovery)
}

private fun TaskDraft.stopOverdueTasks(nowMs: Long) {
    val nowSec = nowMs / MS_PER_SEC
    if (nowSec <= recovery.checkedSec) return
    val dueSecs = recovery.timeLimits.keys.filter { it <= nowSec }
    for (attempt in dueSecs.flatMap { recovery.timeLimits.getValue(it) }) {
        val task = state.tasks[attempt.taskId] ?: continue
        if (task.placement?.token == attempt.token) stop(task, StopReason.TIME_LIMIT)
    }
    val rest = recovery.timeLimits - dueSecs
    recovery = recovery.copy(timeLimits = rest, checkedSec = nowSec)
}

private fun TaskDraft.moveServicesOffDrainingWorkers() {
    for (workerId in recovery.draining) {
        val worker = state.workers[workerId] ?: continue
        worker.taskIds.asSequence()
            .mapNotNull { state.tasks[it] }
            .filter { it.phase != TaskPhase.STOPPING }
            .filter { state.jobs[it.workId]?.spec?.kind == JobKind.SERVICE }
            .take(recovery.settings.maxDrainStopsPerTick)
            .toList()
            .forEach { stop(it, StopReason.WORKER_DRAIN) }
    }
}

/** At most `1 / QUARANTINE_DIVISOR` of the workers are in quarantine at a time. */
private const val QUARANTINE_DIVISOR = 4

private fun TaskDraft.quarantineSuspects(nowMs: Long) {
    for (workerId in recovery.quarantined.keys) endQuarantineAfterStableRun(workerId, nowMs)
    val room = state.workers.size / QUARANTINE_DIVISOR - recovery.quarantined.size
    if (room <= 0) return
    recovery.workerFailures.asSequence()
        .filter { (_, failed) -> failed.size >= recovery.settings.suspectFailures }
        .filter { (_, failed) -> causedByWorker(failed) }
        .mapNotNull { (workerId, _) -> state.workers[workerId] }
        .filter { it.phase == WorkerPhase.ACTIVE }
        .take(room)
        .toList()
        .forEach { changePhase(it, WorkerPhase.QUARANTINED) }
}

private fun TaskDraft.changePhase(worker: Worker, phase: WorkerPhase) =
    emit(Event.WorkerPhaseChanged(worker.info.workerId, worker.info.incarnation, phase))

/** True when several jobs failed on the worker, or one job that succeeds on other workers. */
private fun TaskDraft.causedByWorker(failed: Set<FailedTask>): Boolean {
    val workIds = failed.mapTo(mutableSetOf()) { it.workId }
    return workIds.size > 1 || workIds.any { (state.jobs[it]?.succeededTasks ?: 0) > 0 }
}

private fun TaskDraft.endQuarantineAfterStableRun(workerId: WorkerId, nowMs: Long) {
    val sinceMs = recovery.quarantined[workerId] ?: return
    val worker = state.workers[workerId] ?: return
    val stable = worker.taskIds.any { id ->
        val placement = state.tasks[id]?.placement
        val startedAtMs = placement?.startedAtMs
        startedAtMs != null &&
            placement.placedAtMs >= sinceMs &&
            nowMs - startedAtMs >= recovery.settings.stableRunMs
    }
    if (!stable || worker.phase != WorkerPhase.QUARANTINED) return
    changePhase(worker, WorkerPhase.ACTIVE)
}

private fun TaskDraft.endOversizedJobs(nowMs: Long) {
    if (recovery.capacities.isEmpty()) return
    for ((workId, sinceMs) in recovery.oversized) {
        if (nowMs - sinceMs < recovery.settings.oversizedMs) return
        recovery = recovery.copy(oversized = recovery.oversized - workId)
        val need = state.jobs[workId]?.spec?.perTask ?: continue
        if (recovery.fitsSomeWorker(need)) continue
        emit(
            Event.JobEnded(workId, Outcome.CannotRun("needs $need, more than any worker has"))
        )
    }
}

private fun TaskDraft.checkChangedJobs(nowMs: Long) {
    val jobs = recovery.changedJobs.take(recovery.settings.maxJobsPerTick)
    recovery = recovery.copy(changedJobs = recovery.changedJobs - jobs)
    for (workId in jobs) {
        val job = state.jobs[workId] ?: continue
        jobEvents(state, recovery, job, nowMs).forEach(::emit)
    }
}

private fun TaskDraft.moveDedupWindow(nowMs: Long) {
    val settings = recovery.settings
    if (nowMs - recovery.dedupMovedAtMs < settings.dedupEveryMs) return
    recovery = recovery.copy(dedupMovedAtMs = nowMs)
    val keepFromMs = nowMs - settings.dedupWindowMs
    val oldWork = state.ended.values.firstOrNull()?.let { it.endedAtMs < keepFromMs } ?: false
    val oldChange = state.changes.values.firstOrNull()?.let { it.atMs < keepFromMs } ?: false
    if (oldWork || oldChange) emit(Event.DedupWindowMoved(keepFromMs))
}
