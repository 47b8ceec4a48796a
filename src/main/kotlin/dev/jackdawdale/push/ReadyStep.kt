package dev.jackdawdale.push

import dev.jackdawdale.staged.StageStep
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.isComplete

/** Workers per advice call that is assumed when the duration of a step is estimated. */
internal const val WORKERS_PER_ADVICE_CALL = 30

/** Run time that is assumed for tasks that declare none. */
internal const val DEFAULT_ESTIMATE_MS = 1_000L

/** Run time of one task as its caller declared it, or as it is assumed. */
internal val StepSpec.expectedMs: Long
    get() = estimatedMs.takeIf { it > 0 } ?: DEFAULT_ESTIMATE_MS

/** A late job is still of use to its caller up to this multiple of its objective. */
private const val LATE_FACTOR = 3

/**
 * A step whose tasks may start.
 *
 * @property waiting indexes of the tasks without a placement
 * @property latestStartMs a start after this time makes the job late
 * @property worthlessAfterMs a start after this time is worth nothing to the caller
 * @property idleMs how long its job has had no run in an idle cell, see [IdleSteps]
 */
internal data class ReadyStep(
    val id: StepId,
    val job: StagedJob,
    val spec: StepSpec,
    val step: StageStep,
    val waiting: List<Int>,
    val latestStartMs: Long,
    val worthlessAfterMs: Long,
    val idleMs: Long = 0
)

/** The steps of [job] that have waiting tasks and whose earlier steps are complete. */
internal fun readySteps(job: StagedJob): List<ReadyStep> {
    if (job.outcome != null) return emptyList()
    val chainsMs = job.chainsMs()
    val objectiveMs = job.objectiveMs(chainsMs)
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
            val restMs = chainsMs[number]
            ReadyStep(
                id = StepId(job.spec.jobId, occurrence.number, number),
                job = job,
                spec = spec,
                step = step,
                waiting = waiting,
                latestStartMs = dueBaseMs + objectiveMs - restMs,
                worthlessAfterMs = dueBaseMs + LATE_FACTOR * objectiveMs - restMs
            )
        }
    }
}

private fun StagedJob.dueBaseMs(occurrence: Int): Long =
    spec.schedule?.let { it.firstAtMs + occurrence * it.everyMs } ?: acceptedAtMs

/** Longest duration with which the job is on time, in milliseconds. */
internal fun StagedJob.objectiveMs(): Long = objectiveMs(chainsMs())

private fun StagedJob.objectiveMs(chainsMs: List<Long>): Long =
    (terms.stretch * (chainsMs.maxOrNull() ?: 0)).toLong() + terms.targetLatencyMs

/**
 * For each step, the longest chain of steps from its start to the end of the job (critical path).
 *
 * Visits each dependency once: the number of chains grows exponentially with the steps.
 */
private fun StagedJob.chainsMs(): List<Long> {
    val adviceMs = terms.advice?.let { adviceCallMs(it, WORKERS_PER_ADVICE_CALL).toLong() } ?: 0
    val afterMs = LongArray(spec.steps.size)
    val chainsMs = LongArray(spec.steps.size)
    for (number in spec.steps.indices.reversed()) {
        val step = spec.steps[number]
        chainsMs[number] = adviceMs + step.expectedMs + afterMs[number]
        step.after.forEach { afterMs[it] = maxOf(afterMs[it], chainsMs[number]) }
    }
    return chainsMs.toList()
}
