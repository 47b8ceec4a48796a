package dev.jackdawdale.push

import dev.jackdawdale.staged.StageStep
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.isComplete

/** Workers that the declared length of a chain counts one call for advice on, for each step. */
internal const val ADVISED_WORKERS = 30

/** Estimate for tasks that declare none, in milliseconds. */
private const val DEFAULT_ESTIMATE_MS = 1_000L

/** A job counts as late up to this multiple of its objective, and is worth little after it. */
private const val LATE_FACTOR = 3

/**
 * A step whose tasks may start.
 *
 * @property waiting indexes of the tasks that wait for a worker
 * @property latestStartMs a start after this time makes the job late
 * @property hopelessAfterMs a start after this time is worth nothing to the caller
 */
internal data class ReadyStep(
    val id: StepId,
    val job: StagedJob,
    val spec: StepSpec,
    val step: StageStep,
    val waiting: List<Int>,
    val latestStartMs: Long,
    val hopelessAfterMs: Long
)

/**
 * Order of the steps that wait for workers, the least first: those that can still be on time by the
 * time left, then the late ones, then those that come too late for their callers.
 *
 * Answers a load at its crest, where urgent short jobs arrive behind long ones.
 */
internal fun ReadyStep.rank(nowMs: Long): Double {
    val leftMs = (latestStartMs - nowMs).toDouble()
    return when {
        nowMs <= latestStartMs -> leftMs
        nowMs <= hopelessAfterMs -> LATE_RANK + leftMs
        else -> HOPELESS_RANK + leftMs
    }
}

private const val LATE_RANK = 1e9
private const val HOPELESS_RANK = 2e9

/** The steps of [job] that have waiting tasks and whose earlier steps are complete. */
internal fun readySteps(job: StagedJob): List<ReadyStep> {
    if (job.outcome != null) return emptyList()
    return job.occurrences.flatMap { occurrence ->
        val dueBaseMs = job.dueBaseMs(occurrence.number)
        occurrence.steps.mapIndexedNotNull { number, step ->
            val spec = job.spec.steps[number]
            val begins = spec.after.all { occurrence.steps.getOrNull(it)?.isComplete ?: false }
            if (!begins) return@mapIndexedNotNull null
            val waiting = step.tasks.indices.filter { index ->
                val task = step.tasks[index]
                task.placement == null && !task.succeeded
            }
            val isWaiting = if (spec.gang) {
                waiting.size == step.tasks.size
            } else {
                waiting.isNotEmpty()
            }
            if (!isWaiting) return@mapIndexedNotNull null
            val objectiveMs = job.objectiveMs()
            val restMs = job.chainMs(number)
            ReadyStep(
                id = StepId(job.spec.jobId, occurrence.number, number),
                job = job,
                spec = spec,
                step = step,
                waiting = waiting,
                latestStartMs = dueBaseMs + objectiveMs - restMs,
                hopelessAfterMs = dueBaseMs + LATE_FACTOR * objectiveMs - restMs
            )
        }
    }
}

private fun StagedJob.dueBaseMs(occurrence: Int): Long =
    spec.schedule?.let { it.firstAtMs + occurrence * it.everyMs } ?: acceptedAtMs

/** How long the job may take to be on time. */
internal fun StagedJob.objectiveMs(): Long {
    val chainMs = spec.steps.indices.maxOfOrNull { chainMs(it) } ?: 0
    return (terms.stretch * chainMs).toLong() + terms.targetLatencyMs
}

/** The longest chain of work from the start of step [from] to the end of the job. */
private fun StagedJob.chainMs(from: Int): Long {
    val adviceMs = terms.advice?.let { costMs(it, ADVISED_WORKERS).toLong() } ?: 0
    val ownMs = spec.steps[from].estimatedMs.takeIf { it > 0 } ?: DEFAULT_ESTIMATE_MS
    val next = spec.steps.indices.filter { from in spec.steps[it].after && it > from }
    return adviceMs + ownMs + (next.maxOfOrNull { chainMs(it) } ?: 0)
}
