package dev.jackdawdale.push

import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.job
import dev.jackdawdale.telemetry.DecisionLog

/**
 * What the runs of a step show about whether it can succeed.
 *
 * @property failures failed runs of the step, without those that its workers caused
 * @property ofImage failed runs in a row of steps with the same image
 * @property hasSucceeded whether a run of the step succeeded
 * @property hasOutlasted whether a run of it is past its expected time
 * @property running runs that have not ended
 */
internal data class StepEvidence(
    val failures: Int = 0,
    val ofImage: Int = 0,
    val hasSucceeded: Boolean = false,
    val hasOutlasted: Boolean = false,
    val running: Int = 0
)

/** Failed runs after which a step is held back; a single one may be chance. */
private const val FAILURES_TO_HOLD = 2

/** Runs of a held step that may go on at a time, so that the step always gets an outcome. */
private const val PROBES = 2

/**
 * How many further runs of a step may start, or null when it is not held back.
 *
 * Answers jobs that never succeed: all their tasks would fail on many workers, several times each.
 */
internal fun probesAllowed(evidence: StepEvidence): Int? = when {
    evidence.hasSucceeded || evidence.hasOutlasted -> null
    maxOf(evidence.failures, evidence.ofImage) < FAILURES_TO_HOLD -> null
    else -> (PROBES - evidence.running).coerceAtLeast(0)
}

/**
 * Holds back the tasks of steps whose runs only fail. Gangs are never held back, as they run whole
 * or not at all, nor are long-running steps, whose runs never succeed.
 *
 * A failure is no evidence when its worker failed a run of another job too, and no run succeeded
 * there in between. Used on the control thread only.
 */
internal class FailingSteps(private val decisions: DecisionLog) {
    private val ofImage = HashMap<String, ImageFailures>()
    private val causedByWorker = HashMap<StepId, Int>()
    private val failedInRow = HashMap<String, MutableList<FailedRun>>()
    private val held = HashSet<StepId>()

    val heldSteps: Int get() = held.size

    /** Records the end of the run that was [placed]. */
    fun runEnded(
        state: StagedState,
        event: StagedEvent.RunEnded,
        placed: RunPlacement?,
        nowMs: Long
    ) {
        if (placed?.run != event.run) return
        val stepId = event.taskId.stepId
        val spec = state.job(stepId.jobId)?.spec?.steps?.getOrNull(stepId.step)
        val image = spec?.image.orEmpty()
        when (event.result) {
            RunResult.SUCCEEDED -> {
                failedInRow.remove(placed.workerId)
                ofImage.remove(image)
            }
            RunResult.FAILED -> failed(state, placed.workerId, FailedRun(stepId, image), nowMs)
            else -> Unit
        }
    }

    private fun failed(state: StagedState, workerId: String, run: FailedRun, nowMs: Long) {
        val inRow = failedInRow.getOrPut(workerId) { ArrayList() }
        if (inRow.size == MAX_IN_ROW) inRow.removeAt(0)
        inRow += run
        count(run, nowMs)
        if (inRow.all { it.stepId.jobId == run.stepId.jobId }) return
        inRow.filter { it.isEvidence }.forEach {
            it.isEvidence = false
            // An ended job is forgotten already.
            if (it.stepId.jobId in state.active) causedByWorker.merge(it.stepId, 1, Int::plus)
            ofImage[it.image]?.let { failures -> failures.count-- }
        }
    }

    private fun count(run: FailedRun, nowMs: Long) {
        if (run.image.isEmpty()) return
        ofImage.values.removeIf { nowMs - it.lastMs > IMAGE_KEPT_MS }
        val failures = ofImage.getOrPut(run.image) { ImageFailures() }
        failures.count++
        failures.lastMs = nowMs
    }

    /** The step with those of its waiting tasks that may start, or null when none may. */
    fun limit(step: ReadyStep, nowMs: Long): ReadyStep? {
        if (step.spec.gang || step.spec.longRunning) return step
        val evidence = evidenceOf(step, nowMs)
        val probes = probesAllowed(evidence)
        if (probes == null) {
            if (held.remove(step.id)) log(step, nowMs) { "no longer holds back" }
            return step
        }
        if (held.add(step.id)) {
            log(step, nowMs) {
                "after ${evidence.failures} failed runs, ${evidence.ofImage} of its image, " +
                    "holds back"
            }
        }
        if (probes == 0) return null
        // A task that failed before is the first to use up its attempts.
        val first = step.waiting.sortedByDescending { step.step.tasks[it].failedRuns }
        return step.copy(waiting = first.take(probes).sorted())
    }

    private fun evidenceOf(step: ReadyStep, nowMs: Long): StepEvidence {
        val tasks = step.step.tasks
        val running = tasks.mapNotNull { task -> task.placement.takeIf { !task.succeeded } }
        val image = ofImage[step.spec.image]?.takeIf { nowMs - it.lastMs <= IMAGE_KEPT_MS }
        return StepEvidence(
            failures = tasks.sumOf { it.failedRuns } - (causedByWorker[step.id] ?: 0),
            ofImage = image?.count ?: 0,
            hasSucceeded = tasks.any { it.succeeded },
            hasOutlasted = running.any { nowMs - it.placedAtMs > step.spec.expectedMs },
            running = running.size
        )
    }

    private fun log(step: ReadyStep, nowMs: Long, what: () -> String) =
        decisions.line(nowMs, step.id.jobId) {
            "${what()} step ${step.id.step}, ${step.waiting.size} tasks wait"
        }

    /** Drops what is known of an ended job. */
    fun forget(jobId: String) {
        held.removeIf { it.jobId == jobId }
        causedByWorker.keys.removeIf { it.jobId == jobId }
    }

    private class FailedRun(val stepId: StepId, val image: String, var isEvidence: Boolean = true)

    private class ImageFailures(var count: Int = 0, var lastMs: Long = Long.MIN_VALUE / 2)

    private companion object {
        /** A worker with as many failures in a row is known as failing. */
        const val MAX_IN_ROW = 20

        /** Longer than the run times of most jobs; the image may be mended after that. */
        const val IMAGE_KEPT_MS = 30_000L
    }
}
