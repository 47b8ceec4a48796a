package dev.jackdawdale.wire

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.staged.StagedReply
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The leader's reply to one command or query. */
@Serializable
sealed interface Reply {
    /** Nothing changed and nothing ran. */
    @Serializable
    @SerialName("refused")
    data class Refused(val refusal: Refusal) : Reply

    /** The leader lost leadership before the commit: the effect is unknown, so call again. */
    @Serializable
    @SerialName("leadershipLost")
    data object LeadershipLost : Reply

    /** The work item as it is now, for submits, cancels and status queries. */
    @Serializable
    @SerialName("workStatus")
    data class Work(val status: WorkStatus) : Reply

    @Serializable
    @SerialName("contractAccepted")
    data class ContractAccepted(val contract: Contract) : Reply

    @Serializable
    @SerialName("endpointAnnounced")
    data class EndpointAnnounced(val phase: EndpointPhase) : Reply

    /**
     * Orders for a worker, in answer to its poll.
     *
     * @property leaseMs how long the worker may run its tasks, from when it sent the poll
     * @property acknowledged ends that the worker need not report again
     */
    @Serializable
    @SerialName("workerOrders")
    data class WorkerOrders(
        val orders: List<WorkerOrder>,
        val leaseMs: Long,
        val acknowledged: List<FencingToken>
    ) : Reply

    @Serializable
    @SerialName("staged")
    data class Staged(val reply: StagedReply) : Reply

    @Serializable
    @SerialName("done")
    data object Done : Reply

    @Serializable
    @SerialName("contracts")
    data class Contracts(val contracts: List<Contract>, val asOfMs: Long) : Reply

    @Serializable
    @SerialName("endpoints")
    data class Endpoints(val endpoints: List<EndpointView>, val asOfMs: Long) : Reply

    @Serializable
    @SerialName("workers")
    data class Workers(val workers: List<WorkerView>, val asOfMs: Long) : Reply

    @Serializable
    @SerialName("queue")
    data class Queue(val entries: List<QueueEntry>, val total: Int, val asOfMs: Long) : Reply

    /**
     * The state of the cell.
     *
     * @property toleratedLosses how many more replicas may be lost before there is no quorum; null
     *   when the leader runs a version that does not tell
     */
    @Serializable
    @SerialName("cellStatus")
    data class CellStatus(
        val leader: HostId,
        val term: Long,
        val commitIndex: Long,
        val replicas: List<ReplicaView>,
        val toleratedLosses: Int? = null,
        val entryHosts: List<HostId>,
        val waitingRequests: Int,
        val placedRequests: Int,
        val waitingTasks: Int,
        val runningTasks: Int,
        val endedWork: Long,
        val asOfMs: Long
    ) : Reply

    /**
     * The records found; [nextNumber] is where the next query continues, or null at the end.
     *
     * @property chainHashes hexadecimal chain hash of each record, in the same order
     */
    @Serializable
    @SerialName("records")
    data class Records(
        val records: List<WorkRecord>,
        val chainHashes: List<String>,
        val nextNumber: Long?
    ) : Reply
}

/** The stage of a work item. */
@Serializable
enum class WorkStage { ACCEPTED, PLACED, STARTED, ENDED }

/**
 * The status of a work item in the replicated state.
 *
 * @property tasksSucceeded for jobs: tasks that ended with success
 * @property tasksRunning for jobs: tasks that are placed on a worker
 * @property waitingReason why the work is not placed, or null
 */
@Serializable
data class WorkStatus(
    val workId: WorkId,
    val stage: WorkStage,
    val contractVersion: Long,
    val acceptedAtMs: Long,
    val outcome: Outcome? = null,
    val endedAtMs: Long? = null,
    val answer: Answer? = null,
    val taskCount: Int = 0,
    val tasksRunning: Int = 0,
    val tasksSucceeded: Int = 0,
    val attempts: Int = 0,
    val waitingReason: String? = null,
    val asOfMs: Long
)

/** An endpoint as operators see it. */
@Serializable
data class EndpointView(
    val info: EndpointInfo,
    val phase: EndpointPhase,
    val inFlight: Int,
    val lastHeardMs: Long?
)

/** A worker as operators see it. */
@Serializable
data class WorkerView(
    val info: WorkerInfo,
    val phase: WorkerPhase,
    val allocated: Resources,
    val tasks: Int,
    val lastHeardMs: Long?
)

/** Waiting work with the reason why it waits. */
@Serializable
data class QueueEntry(
    val workId: WorkId,
    val waitingSinceMs: Long,
    val waitingTasks: Int,
    val reason: String
)

/** A control replica as operators see it. */
@Serializable
data class ReplicaView(
    val replicaId: String,
    val hostId: HostId,
    val voter: Boolean,
    val matchIndex: Long,
    val reachable: Boolean
)
