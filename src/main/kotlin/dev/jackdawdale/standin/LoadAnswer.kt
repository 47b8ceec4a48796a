package dev.jackdawdale.standin

import kotlinx.serialization.Serializable

/**
 * The final answer to one request.
 *
 * @property sentSha256 hexadecimal SHA-256 of the sent body
 * @property outcome label of the outcome or error; `lost` when no answer arrived
 * @property ran whether the request ran, if an error says so: no, unknown or null
 * @property body the whole answer, or null
 * @property waitMs time from the planned start to the answer
 */
@Serializable
internal data class LoadAnswer(
    val workId: String,
    val kind: String,
    val idempotent: Boolean,
    val sentSha256: String,
    val tries: Int,
    val status: Int?,
    val outcome: String,
    val ran: String? = null,
    val body: String? = null,
    val waitMs: Long
)

/** Why the answer does not match this request, or null when it is complete and matches. */
internal fun LoadAnswer.mismatch(): String? {
    if (outcome != RESULT_SUCCEEDED) return null
    val mark = body?.let { markOrNull(it) } ?: return "incomplete answer"
    return when {
        mark.workId != workId -> "the answer to ${mark.workId}"
        mark.bodySha256 != sentSha256 -> "the endpoint received another body"
        else -> null
    }
}
