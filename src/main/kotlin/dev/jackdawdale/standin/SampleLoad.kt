package dev.jackdawdale.standin

import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Runs the load in [options] against a cell and returns its report. */
internal fun runLoad(options: LoadOptions): LoadReport = SampleLoad(options).run()

private class SampleLoad(private val options: LoadOptions) {
    private val http = httpClient()
    private val tally = LoadTally()
    private val slots = Semaphore(options.maxInFlight)
    private val random = Random(options.seed)
    private val answers = options.answers?.toFile()?.bufferedWriter()

    fun run(): LoadReport {
        val startNs = System.nanoTime()
        val intervalNs = NS_PER_SEC / options.ratePerSec
        val open = (0 until options.count).mapNotNull { index ->
            val plannedNs = startNs + index * intervalNs
            val request = planned(index, plannedNs)
            awaitNs(plannedNs)
            if (slots.tryAcquire()) {
                send(request).whenComplete { _, _ -> slots.release() }
            } else {
                tally.skip()
                null
            }
        }
        open.forEach { it.join() }
        answers?.close()
        return tally.report()
    }

    private class PlannedRequest(
        val index: Int,
        val kind: LoadKind,
        val startNs: Long,
        val body: String
    ) {
        val sha256 = sha256Hex(body.encodeToByteArray())
    }

    private fun planned(index: Int, startNs: Long): PlannedRequest {
        val kind = randomKind()
        return PlannedRequest(index, kind, startNs, "${kind.body} number $index")
    }

    private fun randomKind(): LoadKind {
        var draw = random.nextInt(options.mix.sumOf { it.share })
        return options.mix.first { kind ->
            draw -= kind.share
            draw < 0
        }
    }

    private fun awaitNs(plannedNs: Long) {
        val waitNs = plannedNs - System.nanoTime()
        if (waitNs > 0) TimeUnit.NANOSECONDS.sleep(waitNs)
    }

    private fun send(request: PlannedRequest, tries: Int = 1): CompletableFuture<Unit> {
        val url = options.entryUrls[(request.index + tries - 1) % options.entryUrls.size]
        val answered = http.sendAsync(message(request, url), HttpResponse.BodyHandlers.ofString())
            .handle { response, _ -> response }
        return answered.thenCompose { response ->
            val shouldResend = response == null || response.statusCode() == NOT_READY
            if (shouldResend && tries <= options.resends) {
                val later = CompletableFuture.delayedExecutor(RESEND_MS, TimeUnit.MILLISECONDS)
                CompletableFuture.supplyAsync({ }, later)
                    .thenCompose { send(request, tries + 1) }
            } else {
                record(answer(request, tries, response))
                CompletableFuture.completedFuture(Unit)
            }
        }
    }

    private fun message(request: PlannedRequest, url: String): HttpRequest {
        val path = "/v1/services/${options.service}/requests"
        val builder = HttpRequest.newBuilder(URI.create(url.trimEnd('/') + path))
            .timeout(Duration.ofMillis(options.deadlineMs + ANSWER_MARGIN_MS))
            .header("Jackdawdale-Request-Id", requestId(request))
            .header("Jackdawdale-Idempotent", "${options.idempotent}")
            .header("Jackdawdale-Deadline-Ms", "${options.deadlineMs}")
            .header("Jackdawdale-Kind", request.kind.kind)
            .POST(HttpRequest.BodyPublishers.ofString(request.body))
        if (options.token == null) {
            builder.header("Jackdawdale-Customer", options.customer)
        } else {
            builder.header("Authorization", "Bearer ${options.token}")
        }
        return builder.build()
    }

    private fun requestId(request: PlannedRequest) = "${options.idPrefix}-${request.index}"

    private fun answer(
        request: PlannedRequest,
        tries: Int,
        response: HttpResponse<String>?
    ): LoadAnswer {
        val error = response?.let { errorOf(it.body()) }
        val outcome = response?.headers()?.firstValue("Jackdawdale-Outcome")?.orElse(null)
        return LoadAnswer(
            "${options.customer}/${requestId(request)}",
            request.kind.kind,
            options.idempotent,
            request.sha256,
            tries,
            response?.statusCode(),
            outcome ?: error?.text("error") ?: response?.let {
                "status_${it.statusCode()}"
            } ?: LOST,
            if (outcome == RESULT_SUCCEEDED) null else error?.text("ran"),
            response?.body(),
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - request.startNs)
        )
    }

    private fun record(answer: LoadAnswer) {
        tally.add(answer)
        val writer = answers ?: return
        synchronized(writer) { writer.write(snakeJson.encodeToString(answer) + "\n") }
    }
}

private fun errorOf(body: String): JsonObject? = try {
    Json.parseToJsonElement(body) as? JsonObject
} catch (_: SerializationException) {
    null
}

private fun JsonObject.text(name: String): String? = get(name)?.jsonPrimitive?.content

private const val NS_PER_SEC = 1_000_000_000L
private const val NOT_READY = 503
private const val RESEND_MS = 200L
private const val ANSWER_MARGIN_MS = 7_000L
private const val LOST = "lost"
