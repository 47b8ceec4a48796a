package dev.jackdawdale.staged

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A task and the worker on which it is placed. */
@Serializable
data class PlacedTask(val index: Int, val workerId: String, val workerBoot: Long)

/** A change of the replicated state of staged jobs. Applying one never fails. */
@Serializable
sealed interface StagedEvent {
    /** See [StagedJob] for [owner] and [beyondRate]. */
    @Serializable
    @SerialName("jobAccepted")
    data class JobAccepted(
        val spec: StagedJobSpec,
        val terms: QueueSpec,
        val owner: JobOwner? = null,
        val beyondRate: Boolean = false
    ) : StagedEvent

    /** The occurrence [number] of the job is due. */
    @Serializable
    @SerialName("occurrenceBegun")
    data class OccurrenceBegun(val jobId: String, val number: Int) : StagedEvent

    /** The caller cancelled the job, which may not have arrived yet. */
    @Serializable
    @SerialName("jobCancelled")
    data class JobCancelled(val jobId: String) : StagedEvent

    /** A run of the job has started. */
    @Serializable
    @SerialName("jobBegun")
    data class JobBegun(val jobId: String) : StagedEvent

    /** Tasks of one step were placed, all with the same run number; they occupy capacity. */
    @Serializable
    @SerialName("tasksPlaced")
    data class TasksPlaced(
        val stepId: StepId,
        val run: Int,
        val term: Long,
        val placed: List<PlacedTask>
    ) : StagedEvent

    /** The run ended, or can no longer start, and frees its capacity. */
    @Serializable
    @SerialName("runEnded")
    data class RunEnded(
        val taskId: StageTaskId,
        val run: Int,
        val result: RunResult,
        val checkpoint: String = ""
    ) : StagedEvent

    @Serializable
    @SerialName("workerReported")
    data class WorkerRegistered(val worker: PushWorker) : StagedEvent

    @Serializable
    @SerialName("workerLeft")
    data class WorkerLeft(val workerId: String, val boot: Long) : StagedEvent

    @Serializable
    @SerialName("configured")
    data class Configured(val configuration: QueueConfiguration) : StagedEvent

    /** Deletes the jobs that ended before [endedBeforeMs]. */
    @Serializable
    @SerialName("jobsForgotten")
    data class JobsForgotten(val endedBeforeMs: Long) : StagedEvent
}
