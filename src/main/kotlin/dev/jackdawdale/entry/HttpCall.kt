package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Refusal
import io.netty.handler.codec.http.HttpHeaders

/** Who makes a call, as its token proves. */
internal sealed interface Principal {
    data class Customer(val customerId: CustomerId) : Principal

    data object Operator : Principal

    /** An endpoint or worker. */
    data object Member : Principal

    /** The call needs no token. */
    data object Anyone : Principal
}

/** Who may make a call. */
internal enum class Access { ANYONE, CUSTOMER, MEMBER, OPERATOR, CUSTOMER_OR_OPERATOR }

/**
 * One complete HTTP request.
 *
 * @property rawPath the path as it was sent
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

/** The answer to a call. */
internal class HttpResult(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
    val headers: Map<String, String> = emptyMap()
)

/** One call of the HTTP interface; [pattern] holds parameters in braces. */
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
 * @property label stable name for programs
 * @property retryAfterMs when the same call may succeed, or null
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
 * The error of a host that cannot ask the leader now. This try ran nothing, but an earlier try with
 * the same request id may have run, so the answer does not say that the request was not run.
 */
internal fun unavailable(label: String, message: String, ran: Ran = Ran.UNKNOWN): HttpError =
    HttpError(503, label, message, ran, retryAfterMs = UNAVAILABLE_RETRY_MS)

private const val UNAVAILABLE_RETRY_MS = 1_000L
