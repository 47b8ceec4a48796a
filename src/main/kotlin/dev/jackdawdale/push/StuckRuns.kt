package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.task
import java.util.Locale

/** Stops runs that make no progress or are slow, so that they continue on another worker. */
internal class StuckRuns(private val context: LeaderContext) {
    private var moveDueMs = 0L

    /** Requests stops for the runs to move. */
    fun moveStuck(pass: Pass) {
        if (pass.nowMs < moveDueMs) return
        moveDueMs = pass.nowMs + MOVE_EVERY_MS
        refreshSpeeds(pass.nowMs)
        for (link in context.links.values) {
            val isCurrent = pass.nowMs - link.reportedMs <= context.settings.stalledMs
            if (!link.reachable || !isCurrent) continue
            val progress = link.held.values.mapNotNull { progressOf(pass, link, it) }
            if (context.settings.learnSpeeds) observe(link, progress, pass.nowMs)
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

    private fun observe(link: WorkerLink, runs: List<RunProgress>, nowMs: Long) {
        runs.filterNot { context.speeds.isObserved(link.speed, it.taskId) }.forEach { run ->
            val expectedMs = run.expectedMs()
            if (run.estimatedMs != null && expectedMs != null) {
                context.speeds.observe(link.speed, run.taskId, run.estimatedMs, expectedMs, nowMs)
            }
        }
    }

    private fun refreshSpeeds(nowMs: Long) {
        val before = context.links.values.associateWith { it.speed.current.group }
        context.speeds.refresh(before.keys.map { it.speed })
        for ((link, _) in before.filter { (link, group) -> link.speed.current.group != group }) {
            val speed = link.speed.current
            context.decisions.line(nowMs, link.worker.workerId, minor = true) {
                "speed of worker ${link.worker.workerId} is %.2f by %d jobs, fastest %.2f"
                    .format(Locale.ROOT, speed.factor, link.speed.jobs, context.speeds.fastest)
            }
        }
    }

    private fun progressOf(pass: Pass, link: WorkerLink, run: HeldRun): RunProgress? {
        val job = pass.state.staged.job(run.taskId.stepId.jobId) ?: return null
        val spec = job.spec.steps.getOrNull(run.taskId.stepId.step) ?: return null
        val isDone = pass.state.staged.task(run.taskId)?.succeeded ?: true
        val started = run.start as? StartState.Confirmed ?: return null
        if (isDone || run.stopRequested || spec.longRunning) return null
        val expectedMs = spec.estimatedMs * context.places.remoteFactor(spec, link.worker.labels)
        return RunProgress(
            run.taskId,
            expectedMs.toLong().takeIf { it > 0 },
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
