package dev.jackdawdale.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An attempt that an entry host tracks: in flight, or finished and not yet acknowledged. */
@Serializable
data class HeldAttempt(val workId: WorkId, val token: FencingToken)

/** How an attempt of a request ended at the entry host. */
@Serializable
sealed interface AttemptResult {
    /** The complete answer arrived. */
    @Serializable
    @SerialName("answered")
    data class Answered(val answer: Answer) : AttemptResult

    /** No byte of the request was written, and none will be. */
    @Serializable
    @SerialName("notSent")
    data class NotSent(val reason: String) : AttemptResult

    /** Bytes were written but no complete answer arrived: the request may have run. */
    @Serializable
    @SerialName("broken")
    data class Broken(val reason: String) : AttemptResult
}
