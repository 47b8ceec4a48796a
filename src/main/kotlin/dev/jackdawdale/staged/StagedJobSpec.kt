package dev.jackdawdale.staged

import dev.jackdawdale.model.Resources
import kotlinx.serialization.Serializable

/**
 * One step of a staged job: tasks of equal size that may start together.
 *
 * @property estimatedMs run time of one task in milliseconds, as estimated by the caller
 * @property after indexes of the steps of the job that must be complete first
 * @property gang the tasks run only together and end together
 * @property oneRack the tasks are slower when they run on more than one rack
 * @property requiredLabel label that a worker needs, or empty
 * @property dataRack label of the rack that holds the data, or empty
 * @property maxPerWorker tasks of the step that one worker may run at a time; 0 for no limit
 * @property allowDuplicates several runs of one task may run at the same time
 * @property longRunning the tasks run until the job is cancelled
 * @property usesLeftover the tasks get only the processors that other tasks leave unused
 * @property maxUnavailable tasks of a long-running step that planned work may stop at a time
 */
@Serializable
data class StepSpec(
    val taskCount: Int,
    val perTask: Resources,
    val estimatedMs: Long = 0,
    val after: List<Int> = emptyList(),
    val checkpoints: Boolean = false,
    val gang: Boolean = false,
    val oneRack: Boolean = false,
    val requiredLabel: String = "",
    val dataRack: String = "",
    val maxPerWorker: Int = 0,
    val allowDuplicates: Boolean = false,
    val longRunning: Boolean = false,
    val image: String = "",
    val usesLeftover: Boolean = false,
    val latencyTargetMs: Long = 0,
    val maxUnavailable: Int = 0
)

/** Capacity that each task reserves; tasks on leftover processors reserve no processors. */
val StepSpec.reservedPerTask: Resources
    get() = if (usesLeftover) perTask.copy(cpuMillis = 0) else perTask

/**
 * Schedule of a job with several occurrences.
 *
 * @property firstAtMs due time of the first occurrence, milliseconds since the epoch
 * @property everyMs time from one occurrence to the next
 * @property count number of occurrences
 */
@Serializable
data class Schedule(val firstAtMs: Long, val everyMs: Long, val count: Int)

/**
 * A job as submitted.
 *
 * @property jobId chosen by the caller; a resend carries the same one
 * @property queue name of the queue that accepted it
 * @property payload opaque text handed to the workers
 * @property schedule null for a job that runs once, immediately
 */
@Serializable
data class StagedJobSpec(
    val jobId: String,
    val queue: String,
    val payload: String,
    val steps: List<StepSpec>,
    val schedule: Schedule? = null
)

/** Identifies a step of one occurrence; all its tasks are placed under the same terms. */
@Serializable
data class StepId(val jobId: String, val occurrence: Int, val step: Int)

/** Identifies a task of a staged job. */
@Serializable
data class StageTaskId(val stepId: StepId, val index: Int) {
    override fun toString(): String = "${stepId.jobId}.${stepId.occurrence}.${stepId.step}.$index"
}
