package dev.jackdawdale.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.IOException
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import kotlin.time.Duration.Companion.seconds

private fun run(port: Int, workId: String, body: String): HttpResponse<String> = httpClient().send(
    HttpRequest.newBuilder(URI.create("http://127.0.0.1:$port/v1/run"))
        .header("Jackdawdale-Work-Id", workId)
        .header("Jackdawdale-Token", "7")
        .POST(HttpRequest.BodyPublishers.ofString(body)).build(),
    HttpResponse.BodyHandlers.ofString()
)

class SampleEndpointTest :
    FunSpec({
        test("each answer has the mark of its own request, and the journal has each run") {
            val journal = Files.createTempFile("endpoint", ".jsonl")
            FakeEntryHost { FakeAnswer(200, """{"phase": "ACTIVE"}""") }.use { entry ->
                val options = EndpointOptions("e1", "echo", listOf(entry.url), journal = journal)
                SampleEndpoint(options).use { endpoint ->
                    val port = endpoint.start()
                    val mark = snakeJson.decodeFromString<Mark>(run(port, "c/1", "run_ms=1").body())
                    mark.workId shouldBe "c/1"
                    mark.bodySha256 shouldBe sha256Hex("run_ms=1".encodeToByteArray())
                    run(port, "c/2", "fail").statusCode() shouldBe 500
                    eventually(10.seconds) { entry.calls.size shouldBe 1 }
                    entry.calls.first().body shouldContain "\"port\":$port"
                    endpoint.leave()
                }
                entry.calls.last().body shouldContain "\"leaving\":true"
            }
            val lines = readJournal(journal)
            lines.map { it.event } shouldBe listOf(
                JournalEvent.UP,
                JournalEvent.START,
                JournalEvent.END,
                JournalEvent.START,
                JournalEvent.END,
                JournalEvent.LEAVING,
                JournalEvent.DOWN
            )
            lines.mapNotNull { it.result } shouldBe listOf("succeeded", "failed")
        }

        test("an answer that is cut on request fails at the caller") {
            FakeEntryHost { FakeAnswer(503) }.use { entry ->
                SampleEndpoint(EndpointOptions("e1", "echo", listOf(entry.url))).use { endpoint ->
                    val result = runCatching { run(endpoint.start(), "c/1", "cut") }
                    (result.exceptionOrNull() is IOException) shouldBe true
                }
            }
        }
    })
