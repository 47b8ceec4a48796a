package dev.jackdawdale.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a work item ended. */
@Serializable
sealed interface Outcome {
    /** It ran once and its result is complete. */
    @Serializable
    @SerialName("succeeded")
    data object Succeeded : Outcome

    /** It ran and reported a failure. */
    @Serializable
    @SerialName("failed")
    data class Failed(val reason: String) : Outcome

    /** It was cancelled; [mayHaveRun] tells whether part of it may have run. */
    @Serializable
    @SerialName("cancelled")
    data class Cancelled(val mayHaveRun: Boolean) : Outcome

    /** Its deadline passed before it was sent anywhere: it was not run. */
    @Serializable
    @SerialName("deadline_exceeded")
    data object DeadlineExceeded : Outcome

    /** It was not run and never will be. */
    @Serializable
    @SerialName("not_run")
    data class NotRun(val reason: String) : Outcome

    /** It was sent once and its result is unknown. It is never sent again. */
    @Serializable
    @SerialName("may_have_run")
    data class MayHaveRun(val reason: String) : Outcome

    /** It can never run in this cell. */
    @Serializable
    @SerialName("cannot_run")
    data class CannotRun(val reason: String) : Outcome
}

/** The name of the outcome in records, logs and answers. */
val Outcome.label: String
    get() = when (this) {
        Outcome.Succeeded -> "succeeded"
        is Outcome.Failed -> "failed"
        is Outcome.Cancelled -> "cancelled"
        Outcome.DeadlineExceeded -> "deadline_exceeded"
        is Outcome.NotRun -> "not_run"
        is Outcome.MayHaveRun -> "may_have_run"
        is Outcome.CannotRun -> "cannot_run"
    }

/** The part of an ended work item that the replicated state keeps during the dedup window. */
@Serializable
data class EndedWork(
    val workId: WorkId,
    val outcome: Outcome,
    val recordNumber: Long,
    val endedAtMs: Long
)
