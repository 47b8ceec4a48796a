package dev.jackdawdale.entry

import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.label
import dev.jackdawdale.wire.Reply

private const val UNKNOWN_RETRY_MS = 500L

/** Returns the reply if it is a [T]; throws [HttpError] for a refusal or lost leadership. */
internal inline fun <reified T : Reply> Reply.expect(ranIfLost: Ran = Ran.NO): T = when (this) {
    is T -> this
    is Reply.Refused -> throw refusal.toError()
    Reply.LeadershipLost -> throw leadershipLost(ranIfLost)
    else -> throw unexpectedReply(this)
}

internal fun leadershipLost(ran: Ran): HttpError = HttpError(
    503,
    "leadership_lost",
    "the leader did not answer; ask again with the same id",
    ran,
    UNKNOWN_RETRY_MS
)

internal fun unexpectedReply(reply: Reply): HttpError = HttpError(
    502,
    "unexpected_reply",
    "the leader answered with ${reply::class.simpleName}",
    Ran.UNKNOWN
)

/** The error of a refusal: nothing ran. */
internal fun Refusal.toError(): HttpError = when (this) {
    is Refusal.NoContract -> error(403, "customer \"$customerId\" has no contract")
    is Refusal.LimitReached ->
        error(429, "the contract's $limit allows $allowed", retryAfterMs)
    is Refusal.CellFull -> error(503, "the cell has no room", retryAfterMs)
    is Refusal.UrgencyNotAllowed ->
        error(403, "the contract does not allow urgency ${urgency.name.lowercase()}")
    is Refusal.RequestIdReused ->
        error(409, "request id of \"$workId\" was used for different work")
    is Refusal.Invalid -> error(400, "field \"$field\": $problem")
    is Refusal.NotFound -> error(404, "$what does not exist")
    is Refusal.VersionConflict -> error(
        409,
        "expected version $expectedVersion, but the version is $currentVersion" +
            winner?.let { " since change \"$it\"" }.orEmpty()
    )
    // An earlier attempt with the same request id may have run.
    is Refusal.Unavailable -> error(503, reason, retryAfterMs, Ran.UNKNOWN)
}

private fun Refusal.error(
    status: Int,
    message: String,
    retryAfterMs: Long? = null,
    ran: Ran = Ran.NO
): HttpError = HttpError(status, label, message, ran, retryAfterMs, refusal = this)

/** The error of a request that ended without an answer. */
internal fun Outcome.toError(): HttpError = when (this) {
    Outcome.Succeeded -> HttpError(502, label, "the answer is not kept any more", Ran.UNKNOWN)
    is Outcome.Failed -> HttpError(502, label, reason, Ran.UNKNOWN)
    is Outcome.Cancelled -> HttpError(
        409,
        label,
        "the request was cancelled",
        if (mayHaveRun) Ran.UNKNOWN else Ran.NO
    )
    Outcome.DeadlineExceeded -> HttpError(504, label, "the deadline passed before it was sent")
    is Outcome.NotRun -> HttpError(503, label, reason, Ran.NO, UNKNOWN_RETRY_MS)
    is Outcome.MayHaveRun -> HttpError(502, label, reason, Ran.UNKNOWN)
    is Outcome.CannotRun -> HttpError(422, label, reason)
}
