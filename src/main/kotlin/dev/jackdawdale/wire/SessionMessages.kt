package dev.jackdawdale.wire

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.StepId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Messages from an entry host to a control replica. */
@Serializable
sealed interface EntryMessage {
    /**
     * The first message of a session. A replica that does not lead answers
     * [ControlMessage.NotLeader].
     *
     * @property highestTerm highest term seen; the entry host rejects dispatches of lower terms
     * @property held attempts in flight, and finished ones whose result was not acknowledged
     */
    @Serializable
    @SerialName("sessionOpen")
    data class SessionOpen(
        val hostId: HostId,
        val incarnation: Long,
        val failureDomain: FailureDomain,
        val highestTerm: Long,
        val held: List<HeldAttempt>,
        val draining: Boolean
    ) : EntryMessage

    /**
     * Asks whether the replica leads. It answers [ControlMessage.Leads], or
     * [ControlMessage.NotLeader] and then [ControlMessage.Leads] once it does.
     */
    @Serializable
    @SerialName("findLeader")
    data object FindLeader : EntryMessage

    /** Sent every [SESSION_HEARTBEAT_MS]; [draining] hosts get no new dispatches. */
    @Serializable
    @SerialName("sessionHeartbeat")
    data class SessionHeartbeat(val draining: Boolean) : EntryMessage

    /** The reply has the same [callId]. */
    @Serializable
    @SerialName("commandCall")
    data class CommandCall(val callId: Long, val command: Command) : EntryMessage

    /** The reply has the same [callId]. */
    @Serializable
    @SerialName("queryCall")
    data class QueryCall(val callId: Long, val query: Query) : EntryMessage

    /** Repeated on each new session until [ControlMessage.AttemptAcknowledged] arrives. */
    @Serializable
    @SerialName("attemptFinished")
    data class AttemptFinished(
        val workId: WorkId,
        val token: FencingToken,
        val result: AttemptResult,
        val runTimeMs: Long
    ) : EntryMessage

    /** The answer to [ControlMessage.AskAdvice]. */
    @Serializable
    @SerialName("adviceAnswered")
    data class AdviceAnswered(val callId: Long, val result: AdviceResult) : EntryMessage
}

/** Interval of session heartbeats in both directions, in milliseconds. */
const val SESSION_HEARTBEAT_MS = 500L

/** Silence after which either side closes a session, in milliseconds. */
const val SESSION_TIMEOUT_MS = 3_000L

/** Messages from a control replica to an entry host. */
@Serializable
sealed interface ControlMessage {
    /** The session is open; [term] is the leader's term, [controlHosts] are all replicas. */
    @Serializable
    @SerialName("sessionAccepted")
    data class SessionAccepted(val term: Long, val controlHosts: List<HostId> = emptyList()) :
        ControlMessage

    /** This replica does not lead; [leader] is the host to try, when known. */
    @Serializable
    @SerialName("notLeader")
    data class NotLeader(val leader: HostId?) : ControlMessage

    /** This replica leads in [term]; a session may be opened. */
    @Serializable
    @SerialName("leads")
    data class Leads(val term: Long) : ControlMessage

    @Serializable
    @SerialName("reply")
    data class ReplyTo(val callId: Long, val reply: Reply) : ControlMessage

    /**
     * Orders the entry host to send the request to the endpoint.
     *
     * @property validForMs time from receipt within which the first byte must be written
     * @property deadlineInMs time from receipt after which the attempt is abandoned
     * @property maxIdleConnections connections that this entry host may keep open to the endpoint
     * without a request on them. With (connections - slots) / entry hosts, all entry hosts together
     * stay within the declared connections, because requests in flight use at most the slots
     */
    @Serializable
    @SerialName("dispatch")
    data class Dispatch(
        val term: Long,
        val workId: WorkId,
        val token: FencingToken,
        val endpointId: EndpointId,
        val address: String,
        val port: Int,
        val path: String,
        val kind: String,
        val contentType: String,
        val body: Blob,
        val validForMs: Long,
        val deadlineInMs: Long,
        val maxIdleConnections: Int = 4
    ) : ControlMessage

    /** Orders the receiver to ask the adviser which of [workers] may run the step. */
    @Serializable
    @SerialName("askAdvice")
    data class AskAdvice(val callId: Long, val stepId: StepId, val workers: List<String>) :
        ControlMessage

    /** The result of the attempt is durable; the entry host may discard it. */
    @Serializable
    @SerialName("attemptAcknowledged")
    data class AttemptAcknowledged(val workId: WorkId, val token: FencingToken) : ControlMessage

    /**
     * A request for which this entry host waits has ended.
     *
     * @property attempts placements that may have reached an endpoint, or null if unknown
     */
    @Serializable
    @SerialName("requestEnded")
    data class RequestEnded(
        val workId: WorkId,
        val outcome: Outcome,
        val answer: Answer?,
        val attempts: Int? = null
    ) : ControlMessage

    /**
     * Sent every [SESSION_HEARTBEAT_MS] by a leader that heard from a quorum in the last second.
     * The entry host admits work for [validForMs] after receipt.
     *
     * @property contracts contracts that changed since the last message of this session
     */
    @Serializable
    @SerialName("configuration")
    data class Configuration(
        val term: Long,
        val commitIndex: Long,
        val contracts: List<Contract>,
        val validForMs: Long
    ) : ControlMessage
}
