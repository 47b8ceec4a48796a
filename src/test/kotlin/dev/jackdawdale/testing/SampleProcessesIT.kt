package dev.jackdawdale.testing

import dev.jackdawdale.standin.FakeAnswer
import dev.jackdawdale.standin.FakeEntryHost
import dev.jackdawdale.standin.JournalEvent
import dev.jackdawdale.standin.JournalLine
import dev.jackdawdale.standin.TaskOrder
import dev.jackdawdale.standin.WorkerOrders
import dev.jackdawdale.standin.httpClient
import dev.jackdawdale.standin.snakeJson
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlinx.serialization.encodeToString

private const val LEASE_MS = 600L

private fun sendRequest(port: Int, workId: String, body: String): String {
    val request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:$port/v1/run"))
        .header("Jackdawdale-Work-Id", workId)
        .header("Jackdawdale-Token", "1")
        .POST(HttpRequest.BodyPublishers.ofString(body))
    return httpClient().send(request.build(), HttpResponse.BodyHandlers.ofString()).body()
}

private fun TestCell.journal(source: String, event: JournalEvent): List<JournalLine> =
    journals().filter { it.source == source && it.event == event }

/** Tests [TestCell] and the sample endpoint and worker as processes, without a running host. */
class SampleProcessesIT :
    FunSpec({
        test("a reset link cuts off an endpoint, and its journal shows that it was killed") {
            TestCell(CellPlan(controls = 1, entries = 1, proxied = true)).use { cell ->
                cell.startEndpoint("ep1", "echo")
                cell.awaitUntil("ep1 up", 30_000) { cell.journal("ep1", JournalEvent.UP).any() }
                val link = cell.link("entry", "ep1")
                sendRequest(link.port, "c/1", "run_ms=1").contains("c/1") shouldBe true
                link.reset(refuseNew = true)
                shouldThrow<IOException> { sendRequest(link.port, "c/2", "run_ms=1") }
                cell.kill("ep1")
                cell.journal("ep1", JournalEvent.DOWN).single().result shouldBe "killed"
                violations(Evidence(cell.journals())).shouldBeEmpty()
            }
        }

        test("an endpoint that gets SIGTERM announces that it leaves and exits with 0") {
            TestCell(CellPlan(controls = 1, entries = 1)).use { cell ->
                val entry = cell.hosts.last().http
                FakeEntryHost(entry) { FakeAnswer(200, """{"phase":"ACTIVE"}""") }.use { host ->
                    val process = cell.startEndpoint("ep1", "echo")
                    cell.awaitUntil("ep1 announced", 30_000) { host.calls.isNotEmpty() }
                    process.terminate() shouldBe 0
                    host.calls.last().body.contains("\"leaving\":true") shouldBe true
                }
            }
        }

        // The exit status was 143 when the shutdown hook was the first to use logging, and when the
        // signal arrived before the hook was registered.
        test("a worker that gets SIGTERM announces that it leaves and exits with 0") {
            TestCell(CellPlan(controls = 1, entries = 1)).use { cell ->
                val reply = FakeAnswer(200, snakeJson.encodeToString(WorkerOrders(10_000)))
                FakeEntryHost(cell.hosts.last().http) {
                    Thread.sleep(LEASE_MS / 6)
                    reply
                }.use { host ->
                    val process = cell.startWorker("w1", "--poll-ms", "100")
                    cell.awaitUntil("w1 announced", 30_000) { host.calls.isNotEmpty() }
                    process.terminate() shouldBe 0
                    host.calls.last().body.contains("\"leaving\":true") shouldBe true
                }
            }
        }

        test("an endpoint that cannot listen does not end with the status of a graceful stop") {
            TestCell(CellPlan(controls = 1, entries = 1)).use { cell ->
                FakeEntryHost { FakeAnswer(503) }.use { occupied ->
                    val port = occupied.url.substringAfterLast(':')
                    val options = arrayOf("--id", "x", "--service", "s", "--entry", occupied.url)
                    cell.run("sample", "endpoint", *options, "--port", port).first shouldBe 1
                }
            }
        }

        test("a worker paused past its lease reports that its task ended with the lease") {
            TestCell(CellPlan(controls = 1, entries = 1)).use { cell ->
                val start = TaskOrder("start", "c/j#0", 1, 100, 10, 0, 60_000, "run_ms=60000")
                val orders = snakeJson.encodeToString(
                    WorkerOrders(LEASE_MS, orders = listOf(start))
                )
                FakeEntryHost(cell.hosts.last().http) {
                    Thread.sleep(LEASE_MS / 6)
                    FakeAnswer(200, orders)
                }.use {
                    val worker = cell.startWorker("w1", "--poll-ms", "100")
                    cell.awaitUntil("task started", 30_000) {
                        cell.journal("w1", JournalEvent.START).any()
                    }
                    worker.pause()
                    val pausedAtMs = checkNotNull(worker.pausedAtMs)
                    cell.awaitUntil("lease expired", 30_000) {
                        System.currentTimeMillis() > pausedAtMs + 3 * LEASE_MS
                    }
                    val resumedAtMs = System.currentTimeMillis()
                    worker.resume()
                    cell.awaitUntil("task stopped", 30_000) {
                        cell.journal("w1", JournalEvent.STOP).any()
                    }
                    val stop = cell.journal("w1", JournalEvent.STOP).first()
                    stop.result shouldBe "lease ended"
                    stop.atMs shouldBeLessThan resumedAtMs
                }
            }
        }
    })
