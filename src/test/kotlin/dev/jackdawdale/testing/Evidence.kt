package dev.jackdawdale.testing

import dev.jackdawdale.standin.JournalLine

/**
 * The result of one call that sends a request or submits a job.
 *
 * @property idempotent whether the caller declared the request as idempotent
 * @property sentSha256 hexadecimal SHA-256 of the body that was sent
 * @property outcome label from the answer's header or error; null or `lost` when no answer came
 * @property ran what a refusal says: "no" or "unknown"
 * @property body body of the answer; null when none came
 */
internal data class CallerAnswer(
    val workId: String,
    val idempotent: Boolean,
    val sentSha256: String,
    val status: Int?,
    val outcome: String? = null,
    val ran: String? = null,
    val body: String? = null
)

/**
 * What a record says about the outcome of a request or job.
 *
 * @property mayHaveRun whether cancelled work may have run
 */
internal data class RecordedOutcome(
    val workId: String,
    val outcome: String,
    val mayHaveRun: Boolean = false,
    val idempotent: Boolean = true
)

/**
 * The data that [violations] checks.
 *
 * @property journals lines of all endpoints and workers; the lines of a file keep their order
 * @property recordsAreComplete whether the records were read after all work had ended
 */
internal data class Evidence(
    val journals: List<JournalLine>,
    val answers: List<CallerAnswer> = emptyList(),
    val records: List<RecordedOutcome> = emptyList(),
    val recordsAreComplete: Boolean = false
)

/** A guarantee of docs/design.md that the evidence contradicts. */
internal data class Violation(val guarantee: Guarantee, val subject: String, val detail: String)

internal enum class Guarantee {
    OVER_CAPACITY,
    TASK_IN_TWO_PLACES,
    OLD_TOKEN_RAN,
    WRONG_OR_PARTIAL_ANSWER,
    NOT_RUN_BUT_RAN,
    NON_IDEMPOTENT_RAN_TWICE,
    WORK_AFTER_LEAVE,
    LOST_WORK,
    SUCCEEDED_WITHOUT_RUN
}
