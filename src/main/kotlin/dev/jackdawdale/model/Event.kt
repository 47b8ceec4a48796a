package dev.jackdawdale.model

import dev.jackdawdale.staged.StagedEvent
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One change of the cell's replicated state. Applying an event never fails. */
@Serializable
sealed interface Event {
    // Requests

    @Serializable
    @SerialName("requestAccepted")
    data class RequestAccepted(
        val spec: RequestSpec,
        val contractVersion: Long,
        val entryHostId: HostId
    ) : Event

    @Serializable
    @SerialName("requestPlaced")
    data class RequestPlaced(
        val workId: WorkId,
        val endpointId: EndpointId,
        val endpointIncarnation: Long,
        val entryHostId: HostId,
        val entryIncarnation: Long,
        val token: FencingToken,
        val expiresAtMs: Long
    ) : Event

    /**
     * The attempt [token] certainly never reached its endpoint; the request is queued again.
     *
     * @property endpointFailed whether the endpoint, rather than the system, was the cause
     */
    @Serializable
    @SerialName("requestNotSent")
    data class RequestNotSent(
        val workId: WorkId,
        val token: FencingToken,
        val endpointFailed: Boolean = true
    ) : Event

    /**
     * The attempt [token] of an idempotent request failed; the request is queued again.
     *
     * @property endpointFailed whether the endpoint, rather than the system, was the cause
     * @property mayStillRun no complete answer arrived, so the attempt may still occupy its slot
     */
    @Serializable
    @SerialName("requestRetried")
    data class RequestRetried(
        val workId: WorkId,
        val token: FencingToken,
        val notBeforeMs: Long,
        val reason: String,
        val endpointFailed: Boolean = true,
        val mayStillRun: Boolean = true
    ) : Event

    /** The caller of a request that has not ended now waits for its answer at [entryHostId]. */
    @Serializable
    @SerialName("requestRehomed")
    data class RequestEntryHostChanged(val workId: WorkId, val entryHostId: HostId) : Event

    @Serializable
    @SerialName("requestEnded")
    data class RequestEnded(val workId: WorkId, val outcome: Outcome, val answer: Answer? = null) :
        Event

    // Jobs and tasks

    @Serializable
    @SerialName("jobAccepted")
    data class JobAccepted(val spec: JobSpec, val contractVersion: Long) : Event

    @Serializable
    @SerialName("jobEnded")
    data class JobEnded(val workId: WorkId, val outcome: Outcome) : Event

    @Serializable
    @SerialName("taskPlaced")
    data class TaskPlaced(
        val taskId: TaskId,
        val workerId: WorkerId,
        val workerIncarnation: Long,
        val token: FencingToken,
        val counted: Resources
    ) : Event

    @Serializable
    @SerialName("taskStarted")
    data class TaskStarted(val taskId: TaskId, val token: FencingToken) : Event

    /**
     * The worker is asked to stop the task; its capacity stays allocated until its end is known.
     */
    @Serializable
    @SerialName("taskStopRequested")
    data class TaskStopRequested(
        val taskId: TaskId,
        val token: FencingToken,
        val reason: StopReason
    ) : Event

    /** The resources allocated to the task change, but not below [Task.declared]. */
    @Serializable
    @SerialName("taskRecounted")
    data class TaskAllocationChanged(
        val taskId: TaskId,
        val token: FencingToken,
        val counted: Resources
    ) : Event

    /** The worker reported the end of the attempt [token]; its capacity is released. */
    @Serializable
    @SerialName("taskEnded")
    data class TaskEnded(
        val taskId: TaskId,
        val token: FencingToken,
        val result: TaskResult,
        val notBeforeMs: Long = 0,
        val detail: String = ""
    ) : Event

    /** The attempt [token] can no longer run (lease expired or worker restarted). */
    @Serializable
    @SerialName("taskLost")
    data class TaskLost(val taskId: TaskId, val token: FencingToken, val reason: String) : Event

    /** The customer asked to cancel the work item. */
    @Serializable
    @SerialName("cancelRequested")
    data class CancelRequested(val workId: WorkId) : Event

    // Contracts and members

    @Serializable
    @SerialName("contractChanged")
    data class ContractChanged(val changeId: ChangeId, val contract: Contract) : Event

    @Serializable
    @SerialName("endpointJoined")
    data class EndpointJoined(val info: EndpointInfo) : Event

    @Serializable
    @SerialName("endpointPhaseChanged")
    data class EndpointPhaseChanged(
        val endpointId: EndpointId,
        val incarnation: Long,
        val phase: EndpointPhase
    ) : Event

    /** The endpoint no longer runs the abandoned attempts [tokens]; their slots are released. */
    @Serializable
    @SerialName("abandonedSlotsFreed")
    data class AbandonedSlotsFreed(
        val endpointId: EndpointId,
        val incarnation: Long,
        val tokens: List<FencingToken>
    ) : Event

    @Serializable
    @SerialName("workerJoined")
    data class WorkerJoined(val info: WorkerInfo) : Event

    @Serializable
    @SerialName("workerPhaseChanged")
    data class WorkerPhaseChanged(
        val workerId: WorkerId,
        val incarnation: Long,
        val phase: WorkerPhase
    ) : Event

    @Serializable
    @SerialName("entryHostJoined")
    data class EntryHostJoined(val host: EntryHost) : Event

    @Serializable
    @SerialName("entryHostLeft")
    data class EntryHostLeft(val hostId: HostId, val incarnation: Long) : Event

    @Serializable
    @SerialName("staged")
    data class Staged(val event: StagedEvent) : Event

    /** The dedup window moved: ended work and changes from before [keepFromMs] are removed. */
    @Serializable
    @SerialName("dedupWindowMoved")
    data class DedupWindowMoved(val keepFromMs: Long) : Event
}

/**
 * The payload of one log entry: the events of one pass of the control thread.
 *
 * @property atMs leader's time of the pass, milliseconds since the epoch
 */
@Serializable
data class EventBatch(val atMs: Long, val events: List<Event>)
