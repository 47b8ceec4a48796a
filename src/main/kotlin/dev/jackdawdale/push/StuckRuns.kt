package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.task

/** Stops runs that make no progress or are slow, so that they continue on another worker. */
internal class StuckRuns(private val context: LeaderContext) {
    private var moveDueMs = 0L

    /** Requests stops for the runs to move. */
    fun moveStuck(pass: Pass) {
        if (pass.nowMs < moveDueMs) return
        moveDueMs = pass.nowMs + MOVE_EVERY_MS
        for (link in context.links.values) {
            val isCurrent = pass.nowMs - link.reportedMs <= context.settings.stalledMs
            if (!link.reachable || !isCurrent) continue
            val progress = link.held.values.mapNotNull { progressOf(pass, link, it) }
            val moves = decideMoves(progress, context.settings.stalledMs, pass.nowMs)
            if (moves.suspect) link.suspectUntilMs = pass.nowMs + context.settings.suspectMs
            for (taskId in moves.runs) {
                val run = link.held.getValue(taskId)
                context.decisions.line(pass.nowMs, taskId.stepId.jobId) {
                    "moves run ${run.placement.run} of $taskId from ${link.worker.workerId}, " +
                        "${run.percent}% after ${pass.nowMs - run.placement.placedAtMs} ms"
                }
                link.update(run.copy(stopRequested = true))
            }
        }
    }

    private fun progressOf(pass: Pass, link: WorkerLink, run: HeldRun): RunProgress? {
        val job = pass.state.staged.job(run.taskId.stepId.jobId) ?: return null
        val spec = job.spec.steps.getOrNull(run.taskId.stepId.step) ?: return null
        val isDone = pass.state.staged.task(run.taskId)?.succeeded ?: true
        val started = run.start as? StartState.Confirmed ?: return null
        if (isDone || run.stopRequested || spec.longRunning) return null
        return RunProgress(
            run.taskId,
            spec.estimatedMs.takeIf { it > 0 },
            run.percent,
            resumed = run.resumed,
            gang = spec.gang,
            checkpoints = spec.checkpoints,
            isFirst = run.placement.run == 1,
            sinceMs = started.atMs,
            progressMs = run.progressMs,
            asOfMs = link.reportedMs
        )
    }

    private companion object {
        const val MOVE_EVERY_MS = 200L
    }
}
