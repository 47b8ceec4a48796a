package dev.jackdawdale.platform

import dev.jackdawdale.entry.HttpResult
import dev.jackdawdale.entry.JSON_TYPE
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

// HTTP statuses of the platform's protocol.
internal const val OK = 200
internal const val REDIRECT = 307
internal const val BAD_REQUEST = 400
internal const val UNAUTHORIZED = 401
internal const val FORBIDDEN = 403
internal const val NOT_FOUND = 404
internal const val NOT_ALLOWED = 405
internal const val CONFLICT = 409
internal const val GONE = 410
internal const val OTHER_BOOT = 421
internal const val OVERLOADED = 429
internal const val UNAVAILABLE = 503
internal const val UNKNOWN_OUTCOME = 504

private const val MS_PER_S = 1_000

/** A JSON answer whose object is filled by [build]. */
internal fun json(status: Int, build: JsonObjectBuilder.() -> Unit = {}): HttpResult =
    HttpResult(status, JSON_TYPE, buildJsonObject(build).toString().encodeToByteArray())

/** An error answer with a message for people, and a Retry-After header if a retry may help. */
internal fun text(status: Int, message: String, retryAfterMs: Long? = null): HttpResult {
    val body = json(status) { put("error", message) }.body
    val headers = retryAfterMs
        ?.let { mapOf("Retry-After" to "${(it + MS_PER_S - 1) / MS_PER_S}") }.orEmpty()
    return HttpResult(status, JSON_TYPE, body, headers)
}

/** The answer to a call without a key that a customer holds; HTTP demands the header. */
internal fun unauthorized(): HttpResult {
    val body = json(UNAUTHORIZED) { put("error", "the call needs a key that a customer holds") }
    return HttpResult(UNAUTHORIZED, JSON_TYPE, body.body, mapOf("WWW-Authenticate" to "Bearer"))
}
