package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.model.fitsInto

/**
 * The orders that bring a worker from its reported state to the desired state. They are repeated
 * at each poll until the report matches, so a lost response delays them by one poll.
 */
internal fun ordersFor(
    state: CellState,
    workerId: WorkerId,
    running: List<ReportedTask>
): List<WorkerOrder> {
    val reported = running.associateBy { TaskAttempt(it.taskId, it.token) }
    val worker = state.workers[workerId]
    val held = worker?.taskIds.orEmpty().mapNotNull { state.tasks[it] }
    val orders = held.mapNotNull { task ->
        val placement = task.placement
        val current = placement != null && placement.workerIncarnation == worker?.info?.incarnation
        if (current) orderFor(state, task, reported) else null
    }
    val wanted = held.mapNotNullTo(mutableSetOf()) { task ->
        task.placement?.let { TaskAttempt(task.taskId, it.token) }
    }
    val unwanted = reported.keys - wanted
    return unwanted.map { WorkerOrder.Stop(it.taskId, it.token, StopReason.CANCELLED) } + orders
}

private fun orderFor(
    state: CellState,
    task: Task,
    reported: Map<TaskAttempt, ReportedTask>
): WorkerOrder? {
    val placement = task.placement ?: return null
    val report = reported[TaskAttempt(task.taskId, placement.token)]
    return when {
        task.phase == TaskPhase.STOPPING -> stopOrder(task)
        report == null -> startOrder(state, task)
        !report.usage.fitsInto(placement.counted) ->
            WorkerOrder.Throttle(task.taskId, placement.token, placement.counted)
        else -> null
    }
}

private fun startOrder(state: CellState, task: Task): WorkerOrder? {
    val placement = task.placement ?: return null
    val spec = state.jobs[task.workId]?.spec ?: return null
    return WorkerOrder.Start(
        taskId = task.taskId,
        token = placement.token,
        resources = placement.counted,
        timeLimitMs = spec.timeLimitMs,
        payload = spec.payload
    )
}

private fun stopOrder(task: Task): WorkerOrder? {
    val placement = task.placement ?: return null
    return when (val reason = placement.stopReason) {
        null -> null
        StopReason.PREEMPTED, StopReason.OVERUSE, StopReason.WORKER_DRAIN ->
            WorkerOrder.Checkpoint(task.taskId, placement.token)
        StopReason.CANCELLED, StopReason.TIME_LIMIT, StopReason.GANG_BROKEN ->
            WorkerOrder.Stop(task.taskId, placement.token, reason)
    }
}
