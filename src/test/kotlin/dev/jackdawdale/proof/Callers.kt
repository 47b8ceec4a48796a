package dev.jackdawdale.proof

import dev.jackdawdale.standin.httpClient
import dev.jackdawdale.standin.sha256Hex
import dev.jackdawdale.testing.CallerAnswer
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

internal const val CUSTOMER = "glassworks"
private const val TRY_TIMEOUT_MS = 20_000L
private const val RETRY_MS = 100L

internal data class CallerRequest(
    val requestId: String,
    val body: String,
    val idempotent: Boolean,
    val kind: String,
    val deadlineMs: Long = 30_000
)

/**
 * Callers that send requests to the entry hosts at [urls]. Without a conclusive answer, a caller
 * resends the request with the same id to the next entry host. [answers] has an entry for each try.
 */
internal class Callers(private val urls: List<String>, threads: Int) : AutoCloseable {
    private val http: HttpClient = httpClient()
    private val pool = Executors.newFixedThreadPool(threads)
    val answers = ConcurrentLinkedQueue<CallerAnswer>()

    /** Sends [request] until a conclusive answer or [timeoutMs]; completes with the last answer. */
    fun send(request: CallerRequest, timeoutMs: Long = 60_000): CompletableFuture<CallerAnswer> =
        CompletableFuture.supplyAsync({ tryUntilConclusive(request, timeoutMs) }, pool)

    private fun tryUntilConclusive(request: CallerRequest, timeoutMs: Long): CallerAnswer {
        val endMs = System.currentTimeMillis() + timeoutMs
        var next = request.requestId.hashCode().mod(urls.size)
        while (true) {
            val answer = tryOnce(urls[next], request)
            answers += answer
            if (answer.isConclusive || System.currentTimeMillis() > endMs) return answer
            next = (next + 1) % urls.size
            Thread.sleep(RETRY_MS)
        }
    }

    private fun tryOnce(url: String, request: CallerRequest): CallerAnswer {
        val unanswered = CallerAnswer(
            workId = "$CUSTOMER/${request.requestId}",
            idempotent = request.idempotent,
            sentSha256 = sha256Hex(request.body.encodeToByteArray()),
            status = null
        )
        return try {
            val response = http.send(request.toHttp(url), HttpResponse.BodyHandlers.ofString())
            val error = errorOrNull(response)
            unanswered.copy(
                status = response.statusCode(),
                outcome = response.headers().firstValue("Jackdawdale-Outcome").orElse(null),
                ran = error?.get("ran")?.jsonPrimitive?.contentOrNull,
                body = response.body()
            )
        } catch (_: IOException) {
            unanswered
        }
    }

    override fun close() {
        pool.shutdownNow()
    }
}

/** True for a final outcome and for a refusal that another try cannot change. */
internal val CallerAnswer.isConclusive: Boolean get() = outcome != null || status in 400..428

private fun CallerRequest.toHttp(url: String): HttpRequest =
    HttpRequest.newBuilder(URI.create("$url/v1/services/planning/requests"))
        .timeout(Duration.ofMillis(TRY_TIMEOUT_MS))
        .header("Jackdawdale-Customer", CUSTOMER)
        .header("Jackdawdale-Request-Id", requestId)
        .header("Jackdawdale-Idempotent", "$idempotent")
        .header("Jackdawdale-Kind", kind)
        .header("Jackdawdale-Deadline-Ms", "$deadlineMs")
        .header("Content-Type", "text/plain")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build()

private fun errorOrNull(response: HttpResponse<String>): JsonObject? {
    if (response.statusCode() < 400) return null
    return runCatching { Json.parseToJsonElement(response.body()).jsonObject }.getOrNull()
}
