package dev.jackdawdale.standin

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger

/** No entry host answered; [failures] holds the failure of each. */
internal class NoEntryHostException(val failures: List<String>) :
    IOException("no entry host answered: ${failures.joinToString("; ")}")

/** Sends requests to one of several entry hosts and fails over to the next one. */
internal class EntryHosts(
    private val urls: List<String>,
    private val token: String?,
    private val client: HttpClient = httpClient()
) {
    private val current = AtomicInteger()

    /**
     * Posts [json] to [path] at the entry host that answered last, then at each of the others. A
     * host that is not ready (503) counts as failed.
     */
    fun post(path: String, json: String, timeoutMs: Long): HttpResponse<String> {
        val failures = mutableListOf<String>()
        repeat(urls.size) {
            val url = urls[Math.floorMod(current.get(), urls.size)]
            val request = HttpRequest.newBuilder(URI.create(url.trimEnd('/') + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json))
            if (token != null) request.header("Authorization", "Bearer $token")
            val failure = try {
                val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
                if (response.statusCode() != NOT_READY) return response
                "$url answered 503"
            } catch (e: IOException) {
                "$url ${e.javaClass.simpleName} ${e.message ?: ""}".trim()
            }
            failures += failure
            current.incrementAndGet()
        }
        throw NoEntryHostException(failures)
    }
}

/** The HTTP client of the samples and the command line. */
internal fun httpClient(): HttpClient = HttpClient.newBuilder()
    .version(HttpClient.Version.HTTP_1_1)
    .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
    .build()

private const val CONNECT_TIMEOUT_MS = 1_000L
private const val NOT_READY = 503
