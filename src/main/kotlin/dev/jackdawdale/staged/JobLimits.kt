package dev.jackdawdale.staged

import dev.jackdawdale.model.MAX_RESOURCE
import dev.jackdawdale.model.isInRange

/** Each end of a run copies the list of its step's tasks. */
private const val MAX_TASKS_PER_JOB = 10_000
private const val MAX_STEPS = 256
private const val MAX_OCCURRENCES = 1_000_000
internal const val MAX_JOB_ID_CHARS = 128

/** The id is part of the names of tasks, whose parts are separated by dots. */
private val jobIdPattern = Regex("[A-Za-z0-9_-]{1,$MAX_JOB_ID_CHARS}")

/** Whether a job may have this id. */
internal fun isValidJobId(id: String): Boolean = jobIdPattern.matches(id)

/** Why a job of these steps can't be accepted, or null. */
internal fun problemOf(steps: List<StepSpec>, schedule: Schedule?): String? = when {
    steps.isEmpty() -> "the job has no steps"
    steps.size > MAX_STEPS -> "the job has more than $MAX_STEPS steps"
    steps.any { it.taskCount <= 0 } -> "a step has no tasks"
    steps.sumOf { it.taskCount.toLong() } > MAX_TASKS_PER_JOB ->
        "the job has more than $MAX_TASKS_PER_JOB tasks"
    steps.withIndex().any { (number, step) -> step.after.any { it !in 0 until number } } ->
        "a step waits for a step that is not before it"
    steps.any { !it.perTask.isInRange() } ->
        "a task needs a negative amount of a resource, or more than $MAX_RESOURCE"
    schedule != null && schedule.count > MAX_OCCURRENCES ->
        "the job runs more than $MAX_OCCURRENCES times"
    else -> null
}
