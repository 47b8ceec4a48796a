package dev.jackdawdale.testing

import dev.jackdawdale.standin.JournalLine

/**
 * What a caller saw of one try of a request or job.
 *
 * @property idempotent what the caller said when it asked
 * @property sentSha256 hexadecimal SHA-256 of the body that was sent
 * @property outcome label from the answer's header or error; null when no answer came
 * @property ran what a refusal says: "no" or "unknown"
 * @property body the answer, or null when none came
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
 * What a record of the cell claims.
 *
 * @property mayHaveRun for cancelled work
 */
internal data class RecordClaim(
    val workId: String,
    val outcome: String,
    val mayHaveRun: Boolean = false,
    val idempotent: Boolean = true
)

/**
 * Everything that a verdict rests on.
 *
 * @property journals lines of all endpoints and workers, each file in its own order
 * @property recordsAreComplete the records were read after all work had ended
 */
internal data class Evidence(
    val journals: List<JournalLine>,
    val answers: List<CallerAnswer> = emptyList(),
    val records: List<RecordClaim> = emptyList(),
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
