package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.ReportedEnd
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.TaskPlacement
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.fitsInto

/**
 * The result of one announcement of a worker.
 *
 * @property recovery new soft state; the caller must still pass [events] to `observe`
 * @property acknowledged ends that the worker need not report again, once [events] are committed
 * @property current false when a newer incarnation of the worker is known; this one then gets no
 *   orders and no lease
 */
internal data class AnnouncementDecision(
    val events: List<Event>,
    val recovery: TaskRecoveryState,
    val acknowledged: List<FencingToken>,
    val current: Boolean
)

/** Decides what one announcement of a worker changes. */
internal fun decideAnnouncement(
    state: CellState,
    recovery: TaskRecoveryState,
    info: WorkerInfo,
    leaving: Boolean,
    running: List<ReportedTask>,
    ended: List<ReportedEnd>,
    nowMs: Long
): AnnouncementDecision {
    val known = state.workers[info.workerId]
    if (known != null && info.incarnation < known.info.incarnation) {
        return AnnouncementDecision(emptyList(), recovery, emptyList(), current = false)
    }
    val draft = TaskDraft(state, recovery, nowMs)
    draft.join(info, known, leaving)
    draft.recovery = draft.recovery.updateContact(info.workerId) {
        it.copy(lastHeardMs = nowMs, leaving = leaving)
    }
    for (end in ended) draft.end(info.workerId, end, nowMs)
    for (report in running) draft.started(info.workerId, report)
    draft.checkMissingTasks(info.workerId, known, running, nowMs)
    draft.recount(info.workerId, running, nowMs)
    val acknowledged = ended.map { it.token }
    return AnnouncementDecision(draft.events, draft.recovery, acknowledged, current = true)
}

private fun TaskDraft.join(info: WorkerInfo, known: Worker?, leaving: Boolean) {
    if (known != null && known.info.incarnation < info.incarnation) {
        for (taskId in known.taskIds) {
            val task = state.tasks[taskId] ?: continue
            lose(task, "worker ${info.workerId} restarted")
        }
    }
    val present = state.workers[info.workerId]
    if (present == null || present.info != info || present.phase == WorkerPhase.LOST) {
        emit(Event.WorkerJoined(info))
    }
    val phase = state.workers.getValue(info.workerId).phase
    val restarted = known != null && known.info.incarnation < info.incarnation
    val wasLeaving = recovery.contacts[info.workerId]?.leaving ?: false
    val next = when {
        leaving && phase != WorkerPhase.DRAINING -> WorkerPhase.DRAINING
        leaving || !restarted || !wasLeaving -> phase
        phase == WorkerPhase.DRAINING -> WorkerPhase.ACTIVE
        else -> phase
    }
    if (next != phase) emit(Event.WorkerPhaseChanged(info.workerId, info.incarnation, next))
    stopTasksOverCapacity(info)
}

/** Stops the newest tasks of a worker whose announced capacity is below what its tasks hold. */
private fun TaskDraft.stopTasksOverCapacity(info: WorkerInfo) {
    val worker = state.workers.getValue(info.workerId)
    if (worker.allocated.fitsInto(info.capacity)) return
    val newest = worker.taskIds.mapNotNull { state.tasks[it] }
        .sortedByDescending { it.placement?.token }
    var rest = worker.allocated
    for (task in newest) {
        if (rest.fitsInto(info.capacity)) return
        rest = rest.without(task)
        stop(task, StopReason.OVERUSE)
    }
}

private fun TaskDraft.started(workerId: WorkerId, report: ReportedTask) {
    val task = taskHeldBy(workerId, report.taskId, report.token) ?: return
    if (task.phase == TaskPhase.PLACED) emit(Event.TaskStarted(report.taskId, report.token))
}

internal fun TaskDraft.taskHeldBy(workerId: WorkerId, taskId: TaskId, token: FencingToken): Task? =
    state.tasks[taskId]?.takeIf {
        it.placement?.token == token && it.placement.workerId == workerId
    }

private fun TaskDraft.end(workerId: WorkerId, end: ReportedEnd, nowMs: Long) {
    val task = taskHeldBy(workerId, end.taskId, end.token) ?: return
    val placement = task.placement ?: return
    val kind = state.jobs[task.workId]?.spec?.kind
    val result = effectiveResult(kind, placement, end.result)
    val notBeforeMs = notBeforeMs(recovery.settings, task, kind, end.result, result, nowMs)
    emit(Event.TaskEnded(end.taskId, end.token, result, notBeforeMs, end.detail))
    if (result == TaskResult.SUCCEEDED) endQuarantine(workerId, placement)
}

/** The effective result, given the stop reason of the task and the kind of its job. */
private fun effectiveResult(
    kind: JobKind?,
    placement: TaskPlacement,
    reported: TaskResult
): TaskResult = when {
    placement.stopReason == StopReason.TIME_LIMIT && reported != TaskResult.SUCCEEDED ->
        TaskResult.FAILED
    placement.stopReason != null && reported == TaskResult.FAILED -> TaskResult.STOPPED
    kind == JobKind.SERVICE && reported == TaskResult.SUCCEEDED -> TaskResult.STOPPED
    else -> reported
}

private fun notBeforeMs(
    settings: TaskRecoverySettings,
    task: Task,
    kind: JobKind?,
    reported: TaskResult,
    result: TaskResult,
    nowMs: Long
): Long {
    val exitedService = kind == JobKind.SERVICE && reported == TaskResult.SUCCEEDED
    return when {
        result == TaskResult.FAILED -> nowMs + backoffMs(settings, task)
        exitedService || result == TaskResult.NEVER_STARTED -> nowMs + settings.firstBackoffMs
        else -> 0
    }
}

private const val MAX_DOUBLINGS = 16
private const val JITTER_STEPS = 64

/** Doubles with each failure; the token spreads simultaneous retries over half the back-off. */
internal fun backoffMs(settings: TaskRecoverySettings, task: Task): Long {
    val doubled = settings.firstBackoffMs shl minOf(task.failures, MAX_DOUBLINGS)
    val fullMs = minOf(doubled, settings.maxBackoffMs)
    val step = (task.placement?.token?.value ?: 0) % JITTER_STEPS
    return fullMs / 2 + fullMs / 2 * step / JITTER_STEPS
}

/** Ends the quarantine when the succeeded task was placed after the quarantine began. */
private fun TaskDraft.endQuarantine(workerId: WorkerId, placement: TaskPlacement) {
    val sinceMs = recovery.quarantined[workerId] ?: return
    val worker = state.workers[workerId] ?: return
    if (worker.phase != WorkerPhase.QUARANTINED || placement.placedAtMs < sinceMs) return
    emit(Event.WorkerPhaseChanged(workerId, worker.info.incarnation, WorkerPhase.ACTIVE))
}
