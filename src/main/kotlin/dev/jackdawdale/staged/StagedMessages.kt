package dev.jackdawdale.staged

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A command about staged jobs; [host] and [path] select the queue. */
@Serializable
sealed interface StagedCommand {
    val host: String
    val path: String

    /** Hash of the caller's key, or empty. */
    val keyHash: String

    /** @property callId names the caller's call, which its entry host may send several times */
    @Serializable
    @SerialName("submit")
    data class Submit(
        override val host: String,
        override val path: String,
        val payload: String,
        val steps: List<StepSpec>,
        val schedule: Schedule? = null,
        override val keyHash: String = "",
        val callId: String = ""
    ) : StagedCommand

    @Serializable
    @SerialName("cancel")
    data class Cancel(
        override val host: String,
        override val path: String,
        override val keyHash: String = ""
    ) : StagedCommand
}

/** A query for the job or the queue at [path]; [keyHash] is that of the caller's key, or empty. */
@Serializable
data class StagedQuery(val host: String, val path: String, val keyHash: String = "")

/** Status of a staged job as shown to callers. */
@Serializable
enum class JobProgress { QUEUED, RUNNING, COMPLETED, FAILED, CANCELLED }

/** The leader's reply about staged jobs. */
@Serializable
sealed interface StagedReply {
    @Serializable
    @SerialName("job")
    data class Job(val jobId: String, val progress: JobProgress) : StagedReply

    @Serializable
    @SerialName("pending")
    data class Pending(val jobs: Int) : StagedReply

    @Serializable
    @SerialName("noSuchJob")
    data object NoSuchJob : StagedReply

    @Serializable
    @SerialName("noSuchQueue")
    data object NoSuchQueue : StagedReply

    /** No configuration has been accepted yet; nothing ran. */
    @Serializable
    @SerialName("notConfigured")
    data object NotConfigured : StagedReply

    /** The job was not accepted and never runs; the caller may retry after [retryAfterMs]. */
    @Serializable
    @SerialName("overloaded")
    data class Overloaded(val retryAfterMs: Long) : StagedReply

    /** The call carries no key, or one that no customer holds in the present configuration. */
    @Serializable
    @SerialName("unknownKey")
    data object UnknownKey : StagedReply

    /** The job belongs to another customer. */
    @Serializable
    @SerialName("otherCustomer")
    data object OtherCustomer : StagedReply

    /** The job's description is invalid; it never runs. */
    @Serializable
    @SerialName("malformed")
    data class Malformed(val problem: String) : StagedReply
}

/** Result of a call to the adviser. */
@Serializable
sealed interface AdviceResult {
    /** The workers that may run the step, each with its ticket. */
    @Serializable
    @SerialName("given")
    data class Given(val tickets: Map<String, String>) : AdviceResult

    @Serializable
    @SerialName("busy")
    data object Busy : AdviceResult

    @Serializable
    @SerialName("failed")
    data class Failed(val reason: String) : AdviceResult
}
