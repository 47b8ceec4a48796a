package dev.jackdawdale.standin

import kotlinx.serialization.Serializable

/**
 * What the caller of one request got at last.
 *
 * @property sentSha256 hexadecimal SHA-256 of the body that was sent
 * @property outcome label of the outcome or error; `lost` when no answer came
 * @property ran what an error says about the run: no, unknown or null
 * @property body the whole answer, or null
 * @property waitMs from the planned start to the answer
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

/** Why the answer cannot be the one to this request, or null when it is whole and its own. */
internal fun LoadAnswer.mixUp(): String? {
    if (outcome != RESULT_SUCCEEDED) return null
    val mark = body?.let { markOrNull(it) } ?: return "not a whole answer"
    return when {
        mark.workId != workId -> "the answer of ${mark.workId}"
        mark.bodySha256 != sentSha256 -> "the endpoint got another body"
        else -> null
    }
}
