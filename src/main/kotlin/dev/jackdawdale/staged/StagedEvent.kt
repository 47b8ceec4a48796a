package dev.jackdawdale.staged

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One task of a placement and the worker that gets it. */
@Serializable
data class PlacedTask(val index: Int, val workerId: String, val workerBoot: Long)

/** One change of the replicated part of staged jobs. Applying one never fails. */
@Serializable
sealed interface StagedEvent {
    @Serializable
    @SerialName("jobAccepted")
    data class JobAccepted(val spec: StagedJobSpec, val terms: QueueSpec) : StagedEvent

    /** The occurrence [number] of the job is due. */
    @Serializable
    @SerialName("occurrenceBegun")
    data class OccurrenceBegun(val jobId: String, val number: Int) : StagedEvent

    /** The caller cancelled the job, also one that has not arrived. */
    @Serializable
    @SerialName("jobCancelled")
    data class JobCancelled(val jobId: String) : StagedEvent

    /** Tasks of one step hold room on their workers from now on, all with the same run number. */
    @Serializable
    @SerialName("tasksPlaced")
    data class TasksPlaced(
        val stepId: StepId,
        val run: Int,
        val term: Long,
        val placed: List<PlacedTask>
    ) : StagedEvent

    /** The run no longer holds room: the worker listed its end, or it can no longer take effect. */
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
    data class WorkerReported(val worker: PushWorker) : StagedEvent

    @Serializable
    @SerialName("workerLeft")
    data class WorkerLeft(val workerId: String, val boot: Long) : StagedEvent

    @Serializable
    @SerialName("configured")
    data class Configured(val configuration: QueueConfiguration) : StagedEvent

    /** Jobs that ended before [endedBeforeMs] are forgotten. */
    @Serializable
    @SerialName("jobsForgotten")
    data class JobsForgotten(val endedBeforeMs: Long) : StagedEvent
}
