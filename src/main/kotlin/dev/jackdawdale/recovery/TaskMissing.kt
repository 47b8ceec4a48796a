package dev.jackdawdale.recovery

import dev.jackdawdale.model.Event
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import kotlinx.collections.immutable.minus

/**
 * Handles tasks that the worker should hold but does not report. A single omission proves nothing,
 * because announcements can arrive out of order; one that lasts for a whole lease does.
 */
internal fun TaskDraft.checkMissingTasks(
    workerId: WorkerId,
    known: Worker?,
    running: List<ReportedTask>,
    nowMs: Long
) {
    val reported = running.mapTo(mutableSetOf()) { TaskAttempt(it.taskId, it.token) }
    val worker = state.workers[workerId] ?: return
    val afterLease = known?.phase == WorkerPhase.LOST && known.info.enforcesLeases
    for (taskId in worker.taskIds) {
        val task = state.tasks[taskId] ?: continue
        val token = task.placement?.token ?: continue
        when {
            TaskAttempt(taskId, token) in reported ->
                recovery = recovery.copy(missing = recovery.missing - taskId)
            afterLease -> lose(task, "lease of worker $workerId expired")
            else -> handleMissing(task, nowMs)
        }
    }
}

private fun TaskDraft.handleMissing(task: Task, nowMs: Long) {
    val settings = recovery.settings
    val sinceMs = recovery.missing[task.taskId]
    if (sinceMs == null) {
        recovery = recovery.copy(missing = recovery.missing.put(task.taskId, nowMs))
        return
    }
    val neverStarted = task.placement?.startedAtMs == null
    val waitMs = if (task.phase == TaskPhase.PLACED) settings.startTimeoutMs else settings.leaseMs
    if (nowMs - sinceMs < waitMs) return
    recovery = recovery.copy(missing = recovery.missing - task.taskId)
    when {
        task.phase == TaskPhase.PLACED -> stop(task, StopReason.TIME_LIMIT)
        neverStarted && task.placement?.stopReason == StopReason.TIME_LIMIT -> endUnstarted(
            task,
            nowMs
        )
        else -> lose(task, "its worker does not report it")
    }
}

private fun TaskDraft.endUnstarted(task: Task, nowMs: Long) {
    val placement = task.placement ?: return
    val notBeforeMs = nowMs + backoffMs(recovery.settings, task)
    val detail = "worker ${placement.workerId} did not start it"
    emit(
        Event.TaskEnded(task.taskId, placement.token, TaskResult.FAILED, notBeforeMs, detail)
    )
}
