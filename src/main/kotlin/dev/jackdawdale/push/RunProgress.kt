package dev.jackdawdale.push

import dev.jackdawdale.staged.StageTaskId

/**
 * How a run on a worker goes.
 *
 * @property estimatedMs declared run time, or null when the job declares none
 * @property percent share of its work that is done, as its worker lists it
 * @property resumed whether it went on from a checkpoint, so that [percent] tells nothing of speed
 * @property isFirst whether no run of the task came before; a second move for speed would not help
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
 * Runs that are better off on another worker.
 *
 * @property suspect the worker itself is the cause, so it is used last for a while
 */
internal data class Moves(val suspect: Boolean, val runs: List<StageTaskId>)

/** A run younger than this tells nothing of its worker's speed. */
private const val SPEED_KNOWN_AFTER_MS = 400L
private const val SPEED_KNOWN_PERCENT = 5

/** A worker in trouble takes at least this many times as long as declared. */
private const val SLOW_FACTOR = 3.5

/** The runs of one job share its wrong estimate, so several jobs have to agree. */
private const val MIN_SLOW_JOBS = 3

/** Advice, commit and start of the next run. */
private const val MOVE_COST_MS = 300L

/** Members of a gang stand still until all are there. */
private const val GANG_PATIENCE_FACTOR = 3
private const val WHOLE_PERCENT = 100

/**
 * Finds the runs on one worker that stand still or crawl.
 *
 * Answers a load in which some workers hang or turn slow while they report themselves healthy: a
 * slow worker is told from slow work by comparing the runs of several jobs with their declared
 * times.
 */
internal fun decideMoves(runs: List<RunProgress>, stalledMs: Long, nowMs: Long): Moves {
    val stalled = runs.filter { run ->
        val patienceMs = if (run.gang) stalledMs * GANG_PATIENCE_FACTOR else stalledMs
        run.percent < WHOLE_PERCENT && nowMs - run.progressMs > patienceMs
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

/** How many times longer than declared the run will take, or null while that is not known. */
private fun RunProgress.slowness(): Double? {
    val estimateMs = estimatedMs?.takeIf { it > 0 } ?: return null
    val tookMs = asOfMs - sinceMs
    if (resumed || tookMs < SPEED_KNOWN_AFTER_MS) return null
    // Without any progress the run takes at least as long as it took so far for one percent.
    val percent = percent.coerceAtLeast(1)
    if (percent < SPEED_KNOWN_PERCENT && tookMs < estimateMs) return null
    return tookMs.toDouble() * WHOLE_PERCENT / percent / estimateMs
}

private fun RunProgress.leftMs(): Long? {
    if (resumed || percent <= 0) return null
    return (asOfMs - sinceMs) * (WHOLE_PERCENT - percent) / percent
}
