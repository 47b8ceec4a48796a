package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Refusal
import io.netty.handler.codec.http.HttpHeaders

/** The authenticated caller. */
internal sealed interface Principal {
    data class Customer(val customerId: CustomerId) : Principal

    data object Operator : Principal

    /** An endpoint or worker. */
    data object Member : Principal

    /** The call needs no token. */
    data object Anyone : Principal
}

/** The principals that may use a route. */
internal enum class Access { ANYONE, CUSTOMER, MEMBER, OPERATOR, CUSTOMER_OR_OPERATOR }

/**
 * One complete HTTP request.
 *
 * @property rawPath the path without percent decoding
 */
internal class HttpCall(
    val principal: Principal,
    val path: Map<String, String>,
    val query: Map<String, List<String>>,
    val headers: HttpHeaders,
    val body: ByteArray,
    val method: String = "",
    val rawPath: String = ""
)

/** The response to a call. */
internal class HttpResult(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
    val headers: Map<String, String> = emptyMap()
)

/** One operation of the HTTP API; [pattern] has its path parameters in braces. */
internal class Route(
    val method: String,
    val pattern: String,
    val access: Access,
    val handle: suspend (HttpCall) -> HttpResult
)

/** Whether the work that an error is about ran. */
internal enum class Ran(val label: String) { NO("no"), UNKNOWN("unknown") }

/**
 * An error that the caller gets as JSON.
 *
 * @property label stable error code for programs
 * @property retryAfterMs delay before a retry of the same call, or null
 * @property refusal the leader's refusal, whose details the JSON repeats
 */
internal class HttpError(
    val status: Int,
    val label: String,
    override val message: String,
    val ran: Ran = Ran.NO,
    val retryAfterMs: Long? = null,
    val headers: Map<String, String> = emptyMap(),
    val refusal: Refusal? = null
) : Exception(message, null, false, false)

internal fun badRequest(label: String, message: String): HttpError = HttpError(400, label, message)

/**
 * The error of a host that cannot reach the leader now. This attempt ran nothing, but an earlier
 * one with the same request id may have run, so the error does not say that nothing ran.
 */
internal fun unavailable(label: String, message: String, ran: Ran = Ran.UNKNOWN): HttpError =
    HttpError(503, label, message, ran, retryAfterMs = UNAVAILABLE_RETRY_MS)

private const val UNAVAILABLE_RETRY_MS = 1_000L
