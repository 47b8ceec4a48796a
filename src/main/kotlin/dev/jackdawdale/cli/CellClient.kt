package dev.jackdawdale.cli

import dev.jackdawdale.standin.httpClient
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/** One call of the HTTP interface, before a host is chosen. */
internal data class CellCall(
    val method: String,
    val path: String,
    val headers: Map<String, String> = emptyMap(),
    val body: ByteArray? = null,
    val timeoutMs: Long = DEFAULT_TIMEOUT_MS
) {
    private companion object {
        const val DEFAULT_TIMEOUT_MS = 15_000L
    }
}

/** The result of a call. */
internal sealed interface CellAnswer {
    data class Answered(
        val host: String,
        val status: Int,
        val headers: Map<String, String>,
        val body: ByteArray
    ) : CellAnswer

    /** No host was reached, so nothing was sent. */
    data class Unreachable(val tried: List<String>) : CellAnswer

    /** The call was sent at least once and its answer was lost. */
    data class Lost(val tried: List<String>) : CellAnswer
}

/**
 * Calls any host of a cell. When a host fails, is not ready or loses the answer, the next host gets
 * the same call until [retryMs] has passed. That is safe because each call that changes something
 * has an id or is idempotent.
 */
internal class CellClient(
    private val hosts: List<String>,
    private val headers: Map<String, String>,
    private val retryMs: Long,
    private val http: HttpClient = httpClient()
) {
    fun call(call: CellCall, onRetry: (String) -> Unit = {}): CellAnswer {
        val endNs = System.nanoTime() + retryMs * NS_PER_MS
        val attempts = Attempts(onRetry)
        while (true) {
            hosts.forEach { host -> attempts.add(host, send(host, call))?.let { return it } }
            if (System.nanoTime() >= endNs) return attempts.result()
            Thread.sleep(RETRY_DELAY_MS)
        }
    }

    /** Collects the failed attempts of one call. */
    private class Attempts(private val onRetry: (String) -> Unit) {
        private val problems = linkedSetOf<String>()
        private var mayHaveArrived = false
        private var last: CellAnswer.Answered? = null

        /** Adds [attempt]; returns its answer when no retry is needed. */
        fun add(host: String, attempt: Attempt): CellAnswer.Answered? {
            val problem = when (attempt) {
                is Attempt.Whole -> {
                    val answer = attempt.answer
                    if (!answer.isRetryable()) return answer
                    mayHaveArrived = mayHaveArrived || answer.ran() == "unknown"
                    last = answer
                    "answered ${answer.status}: ${answer.message()}"
                }
                is Attempt.Refused -> attempt.reason
                is Attempt.Broken -> {
                    mayHaveArrived = true
                    attempt.reason
                }
            }
            problems += "$host: $problem"
            onRetry("$host: $problem")
            return null
        }

        fun result(): CellAnswer = when {
            // Takes precedence over a later "not run": an earlier attempt may have arrived.
            mayHaveArrived -> CellAnswer.Lost(problems.toList())
            else -> last ?: CellAnswer.Unreachable(problems.toList())
        }
    }

    /** Makes the call once, to [host] only. */
    fun callOne(host: String, call: CellCall): CellAnswer = when (val result = send(host, call)) {
        is Attempt.Whole -> result.answer
        is Attempt.Refused -> CellAnswer.Unreachable(listOf(result.reason))
        is Attempt.Broken -> CellAnswer.Lost(listOf(result.reason))
    }

    private fun send(host: String, call: CellCall): Attempt = try {
        val publisher = call.body?.let(HttpRequest.BodyPublishers::ofByteArray)
            ?: HttpRequest.BodyPublishers.noBody()
        val request = HttpRequest.newBuilder(URI.create(host.trimEnd('/') + call.path))
            .timeout(Duration.ofMillis(call.timeoutMs))
            .method(call.method, publisher)
        (headers + call.headers).forEach { (name, value) -> request.header(name, value) }
        val response = http.send(request.build(), HttpResponse.BodyHandlers.ofByteArray())
        val names = response.headers().map().map { it.key.lowercase() to it.value.first() }
        Attempt.Whole(
            CellAnswer.Answered(host, response.statusCode(), names.toMap(), response.body())
        )
    } catch (e: ConnectException) {
        Attempt.Refused(reason(e))
    } catch (e: HttpConnectTimeoutException) {
        Attempt.Refused(reason(e))
    } catch (e: IOException) {
        Attempt.Broken(reason(e))
    }

    private fun reason(e: IOException): String =
        if (e.message == null) e.javaClass.simpleName else "${e.javaClass.simpleName} ${e.message}"

    private sealed interface Attempt {
        class Whole(val answer: CellAnswer.Answered) : Attempt

        class Refused(val reason: String) : Attempt

        class Broken(val reason: String) : Attempt
    }
}

// A host without a leader or session is worth a retry; the answer of a full cell is final.
private val retriedErrors = setOf(
    "leadership_lost",
    "not_ready",
    "no_leader",
    "configuration_stale",
    "unavailable",
    "draining",
    "too_many_connections"
)

private fun CellAnswer.Answered.isRetryable(): Boolean =
    status == SERVICE_UNAVAILABLE && (errorLabel() == null || errorLabel() in retriedErrors)

/** The body as a JSON object, or null when it is something else. */
internal fun CellAnswer.Answered.json(): JsonObject? = try {
    Json.parseToJsonElement(body.decodeToString()) as? JsonObject
} catch (_: SerializationException) {
    null
}

internal fun CellAnswer.Answered.text(name: String): String? =
    json()?.get(name)?.jsonPrimitive?.content

internal fun CellAnswer.Answered.errorLabel(): String? = text("error")

internal fun CellAnswer.Answered.message(): String = text("message") ?: body.decodeToString()

/** Whether the work ran, as an error says: "no" or "unknown"; null when it does not say. */
internal fun CellAnswer.Answered.ran(): String? = text("ran")

private const val SERVICE_UNAVAILABLE = 503
private const val RETRY_DELAY_MS = 200L
private const val NS_PER_MS = 1_000_000L
