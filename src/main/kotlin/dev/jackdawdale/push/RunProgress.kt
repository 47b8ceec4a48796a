package dev.jackdawdale.push

import dev.jackdawdale.staged.StageTaskId

/**
 * Progress of a run on its worker.
 *
 * @property estimatedMs declared run time, longer away from its data, or null when none is declared
 * @property percent share of its work that is done, as listed by its worker
 * @property resumed whether it continued from a checkpoint, so that [percent] shows no speed
 * @property isFirst whether it is the task's first run; a second move for speed would not help
 * @property sinceMs when the worker confirmed it
 * @property progressMs when [percent] changed last
 * @property asOfMs when the worker listed [percent]
 */
internal data class RunProgress(
    val taskId: StageTaskId,
    val estimatedMs: Long?,
    val percent: Int,
    val resumed: Boolean,
    val gang: Boolean,
    val checkpoints: Boolean,
    val isFirst: Boolean,
    val sinceMs: Long,
    val progressMs: Long,
    val asOfMs: Long
)

/**
 * Runs to move to another worker.
 *
 * @property suspect the worker is the cause, so it is used last for a while
 */
internal data class Moves(val suspect: Boolean, val runs: List<StageTaskId>)

/** The speed of a younger run can't be judged. */
private const val SPEED_KNOWN_AFTER_MS = 400L
private const val SPEED_KNOWN_PERCENT = 5

/** Progress is a whole percent and up to half a second old, which counts less later in a run. */
private const val SPEED_SHOWN_PERCENT = 25

/** Runs on a slow worker take longer than this multiple of the declared time. */
private const val SLOW_FACTOR = 3.5

/** Jobs to compare at least: all runs of a job share its estimate, which may be wrong. */
private const val MIN_SLOW_JOBS = 3

/** Delay until the next run: advice, commit and start. */
private const val MOVE_COST_MS = 300L

/** Members of a gang make no progress until all have started. */
private const val GANG_STALLED_FACTOR = 3
private const val WHOLE_PERCENT = 100

/**
 * Finds the runs on one worker that make no progress or are slow.
 *
 * Detects workers that hang or slow down while they report themselves healthy. To tell a slow
 * worker from slow tasks, the runs of several jobs are compared with their declared times.
 */
internal fun decideMoves(runs: List<RunProgress>, stalledMs: Long, nowMs: Long): Moves {
    val stalled = runs.filter { run ->
        val stalledAfterMs = if (run.gang) stalledMs * GANG_STALLED_FACTOR else stalledMs
        run.percent < WHOLE_PERCENT && nowMs - run.progressMs > stalledAfterMs
    }
    val slow = slowRuns(runs)
    val isStalled = stalled.any { !it.gang }
    return Moves(isStalled || slow.isNotEmpty(), (stalled + slow).map { it.taskId }.distinct())
}

private fun slowRuns(runs: List<RunProgress>): List<RunProgress> {
    val factors = runs.filter { !it.gang }.groupBy { it.taskId.stepId.jobId }.values
        .mapNotNull { ofJob -> ofJob.mapNotNull { it.slowness() }.minOrNull() }
        .sorted()
    val isSlow = factors.size >= MIN_SLOW_JOBS && factors[(factors.size - 1) / 2] > SLOW_FACTOR
    if (!isSlow) return emptyList()
    return runs.filter { it.isFirst }.filter { run ->
        val estimateMs = run.estimatedMs ?: return@filter false
        val leftMs = run.leftMs() ?: return@filter false
        val elsewhereMs = if (run.checkpoints) {
            estimateMs * (WHOLE_PERCENT - run.percent) / WHOLE_PERCENT
        } else {
            estimateMs
        }
        leftMs > elsewhereMs + MOVE_COST_MS
    }
}

/** Expected run time as a multiple of the declared one, or null while unknown. */
private fun RunProgress.slowness(): Double? {
    val estimateMs = estimatedMs?.takeIf { it > 0 } ?: return null
    val tookMs = asOfMs - sinceMs
    if (resumed || tookMs < SPEED_KNOWN_AFTER_MS) return null
    // A run at 0 percent takes at least as long as it would if it had reached 1 percent by now.
    val percent = percent.coerceAtLeast(1)
    if (percent < SPEED_KNOWN_PERCENT && tookMs < estimateMs) return null
    return tookMs.toDouble() * WHOLE_PERCENT / percent / estimateMs
}

/**
 * Run time to expect by the progress so far, or null when it shows no speed. Members of a gang wait
 * for each other, so their progress is not that of their worker.
 */
internal fun RunProgress.expectedMs(): Long? {
    val tookMs = asOfMs - sinceMs
    if (resumed || gang || tookMs < SPEED_KNOWN_AFTER_MS) return null
    if (percent !in SPEED_SHOWN_PERCENT until WHOLE_PERCENT) return null
    return tookMs * WHOLE_PERCENT / percent
}

private fun RunProgress.leftMs(): Long? {
    if (resumed || percent <= 0) return null
    return (asOfMs - sinceMs) * (WHOLE_PERCENT - percent) / percent
}
