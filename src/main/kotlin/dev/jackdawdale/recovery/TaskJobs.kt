package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobWork
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.tasksOf

/** Stop requests for those of [tasks] that are not stopping yet. */
internal fun stopsOf(tasks: List<Task>, reason: StopReason): List<Event> = tasks
    .filter { it.phase != TaskPhase.STOPPING }
    .mapNotNull { task ->
        task.placement?.let { Event.TaskStopRequested(task.taskId, it.token, reason) }
    }

/** The end of a cancelled job of which no task is placed. */
internal fun cancelledEnd(state: CellState, job: JobWork): Event {
    val mayHaveRun = state.tasksOf(job).any { it.attempts > 0 }
    return Event.JobEnded(job.spec.workId, Outcome.Cancelled(mayHaveRun))
}

/** The events for [job] after a change of one of its tasks: its end, task stops, or none. */
internal fun jobEvents(
    state: CellState,
    recovery: TaskRecoveryState,
    job: JobWork,
    nowMs: Long
): List<Event> {
    val spec = job.spec
    if (spec.kind != JobKind.SERVICE && job.succeededTasks == spec.taskCount) {
        return listOf(Event.JobEnded(spec.workId, Outcome.Succeeded))
    }
    if (job.cancelRequested) {
        return endOrStop(state, job) { cancelledEnd(state, job) }
    }
    val problem = cannotRunReason(state, recovery, job, nowMs)
    if (problem != null) {
        return endOrStop(state, job) { Event.JobEnded(spec.workId, Outcome.CannotRun(problem)) }
    }
    return if (spec.kind == JobKind.GANG) brokenGangStops(state, job) else emptyList()
}

private fun endOrStop(state: CellState, job: JobWork, end: () -> Event): List<Event> {
    val held = state.tasksOf(job).filter { it.placement != null }
    return if (held.isEmpty()) listOf(end()) else stopsOf(held, StopReason.CANCELLED)
}

/** Stops the other tasks of a gang when one waits: a gang runs completely or not at all. */
private fun brokenGangStops(state: CellState, job: JobWork): List<Event> {
    val tasks = state.tasksOf(job)
    if (tasks.none { it.phase == TaskPhase.WAITING }) return emptyList()
    return stopsOf(tasks, StopReason.GANG_BROKEN)
}

private fun cannotRunReason(
    state: CellState,
    recovery: TaskRecoveryState,
    job: JobWork,
    nowMs: Long
): String? {
    val settings = recovery.settings
    val failures = recovery.jobFailures[job.spec.workId] ?: JobFailures()
    val detail = if (failures.lastDetail.isEmpty()) "" else ": ${failures.lastDetail}"
    if (job.spec.kind == JobKind.SERVICE) {
        val crashing = failures.crashedOn.size >= settings.failedWorkersLimit &&
            state.tasksOf(job).none { it.isStable(settings, nowMs) }
        return if (crashing) "crashed on ${failures.crashedOn.size} workers$detail" else null
    }
    if (failures.mostFailures >= settings.taskFailuresLimit) {
        return "a task failed ${failures.mostFailures} times$detail"
    }
    val workerCount = job.failedWorkers.count {
        state.workers[it]?.phase != WorkerPhase.QUARANTINED
    }
    val others = job.succeededTasks > 0 && failures.mostFailures < settings.failedWorkersLimit
    if (workerCount < settings.failedWorkersLimit || others) return null
    return "failed on $workerCount workers$detail"
}

private fun Task.isStable(settings: TaskRecoverySettings, nowMs: Long): Boolean {
    val startedAtMs = placement?.startedAtMs ?: return false
    return nowMs - startedAtMs >= settings.stableRunMs
}
