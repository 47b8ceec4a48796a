package dev.jackdawdale.wire

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.ReportedEnd
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.staged.StagedCommand
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A call from an entry host to the leader that may change the cell's state. */
@Serializable
sealed interface Command {
    /**
     * Runs a request once. A resend with the same work id refers to the same work item.
     *
     * @property deadlineInMs time until the caller's deadline, from receipt by the leader
     * @property waits whether the entry host wants [ControlMessage.RequestEnded] at the end
     */
    @Serializable
    @SerialName("submitRequest")
    data class SubmitRequest(
        val workId: WorkId,
        val customerId: CustomerId,
        val service: ServiceName,
        val idempotent: Boolean,
        val kind: String,
        val declaredRunTimeMs: Long?,
        val urgency: Urgency,
        val deadlineInMs: Long,
        val contentType: String,
        val body: Blob,
        val waits: Boolean
    ) : Command

    @Serializable
    @SerialName("submitJob")
    data class SubmitJob(val spec: JobSpec) : Command

    @Serializable
    @SerialName("cancel")
    data class Cancel(val customerId: CustomerId, val workId: WorkId) : Command

    /** Changes a contract; the version in [contract] is replaced by the next one. */
    @Serializable
    @SerialName("putContract")
    data class PutContract(
        val changeId: ChangeId,
        val expectedVersion: Long,
        val contract: Contract
    ) : Command

    /** @property running attempts that the endpoint runs now, or null when it does not say */
    @Serializable
    @SerialName("announceEndpoint")
    data class AnnounceEndpoint(
        val info: EndpointInfo,
        val leaving: Boolean,
        val running: List<FencingToken>? = null
    ) : Command

    /**
     * One poll of a worker.
     *
     * @property running tasks on the worker, with their last measured usage
     * @property ended task ends that are not acknowledged yet
     * @property pollMs how long the reply may be delayed while there are no orders
     */
    @Serializable
    @SerialName("announceWorker")
    data class AnnounceWorker(
        val info: WorkerInfo,
        val leaving: Boolean,
        val running: List<ReportedTask>,
        val ended: List<ReportedEnd>,
        val pollMs: Long
    ) : Command

    @Serializable
    @SerialName("operateEndpoint")
    data class OperateEndpoint(val endpointId: EndpointId, val operation: Operation) : Command

    @Serializable
    @SerialName("operateWorker")
    data class OperateWorker(val workerId: WorkerId, val operation: Operation) : Command

    /** A command for staged jobs, their queues or their workers. */
    @Serializable
    @SerialName("staged")
    data class Staged(val command: StagedCommand) : Command

    /** The operator's confirmation that the worker is off and runs nothing. */
    @Serializable
    @SerialName("confirmWorkerLost")
    data class ConfirmWorkerLost(val workerId: WorkerId) : Command
}

/** An operation of an operator on an endpoint or worker. */
@Serializable
enum class Operation { START, DRAIN, STOP }
