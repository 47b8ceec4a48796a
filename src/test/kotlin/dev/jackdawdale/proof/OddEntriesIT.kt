package dev.jackdawdale.proof

import dev.jackdawdale.platform.StandInAdviser
import dev.jackdawdale.platform.StandInWorker
import dev.jackdawdale.testing.CellProcess
import dev.jackdawdale.testing.PROGRAM
import dev.jackdawdale.testing.freePorts
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val SERVICE = "planning"
private const val JOBS = 24
private const val TASK_MS = 300L

private fun nested(depth: Int) = "[".repeat(depth) + "]".repeat(depth)

/** Registrations by another writer; each names no worker to use. */
private val oddEntries = listOf(
    nested(50_000),
    """{"service":"$SERVICE","state":"ready","other":${nested(50_000)}}""",
    "{\"a\":".repeat(50_000),
    odd(address = "127.0.0.1:99999"),
    odd(address = "127.0.0.1:-1"),
    odd(address = "nonsense"),
    odd(cpu = "9223372036854775807"),
    odd(cpu = "99999999999999999999"),
    odd(cpu = "-5"),
    odd(born = "9223372036854775807"),
    odd(born = "9007199254740991")
)

private fun odd(
    address: String = "127.0.0.1:9",
    cpu: String = "16000",
    born: String = "1700000000000"
) = """{"service":"$SERVICE","address":"$address","zone":"local","state":"ready",
    "capacity":{"cpu":$cpu,"memMb":1024,"gpu":0},"labels":["a","r1"],"born":$born,"sequence":1}"""

private const val CONFIGURATION = """{"version":5,"routes":[{"name":"plans","host":"127.0.0.1",
"pathPrefix":"/plans/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,
"service":"$SERVICE","maxAttempts":3,"stretch":2.0,
"advice":{"decisionMs":1.0,"perWorkerMs":0.1,"validityMs":2000}}],
"services":[{"name":"$SERVICE"}],"limits":{}}"""

private const val JOB = """{"spec":"order","steps":[{"count":3,"cpu":1000,"memMb":64,
"estimatedMs":$TASK_MS}]}"""

/** A process of the platform that serves callers, operators and workers, with its adviser. */
private class PlatformProcess : AutoCloseable {
    private val http = HttpClient.newHttpClient()
    private val folder: Path = Files.createTempDirectory("jackdawdale-odd")
    private val ports = freePorts(PORTS)
    private val adviser = StandInAdviser().apply { open() }
    private val log = folder.resolve("process.log").toFile()
    val process: CellProcess

    init {
        val settings = folder.resolve("settings.json")
        Files.writeString(
            settings,
            """{"nodeName":"host","ip":"127.0.0.1","zone":"local","bootstrap":true,
            "internalPortRange":[${ports[0]},${ports[1]}],"seeds":["127.0.0.1:${ports[0]}"],
            "dataDir":"$folder/data","advice":"${adviser.address}",
            "listen":{"front":"127.0.0.1:${ports[2]}","ready":"127.0.0.1:${ports[3]}",
            "control":"127.0.0.1:${ports[4]}"}}"""
        )
        val command = listOf("env", "JACKDAWDALE_BOOT=$settings", PROGRAM.path, "platform")
        process = CellProcess("host", command, log, folder.toFile())
        process.start()
    }

    fun caller(method: String, path: String, body: String = "") = call(2, method, path, body)

    fun operator(method: String, path: String, body: String) = call(4, method, path, body)

    fun output(): String = log.readText()

    private fun call(port: Int, method: String, path: String, body: String): Pair<Int, String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${ports[port]}$path"))
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build()
        val response = http.send(request, HttpResponse.BodyHandlers.ofString())
        return response.statusCode() to response.body()
    }

    override fun close() {
        process.close()
        adviser.close()
        folder.toFile().deleteRecursively()
    }

    private companion object {
        const val PORTS = 5
    }
}

class OddEntriesIT :
    FunSpec({
        test("an odd entry among the workers' ends the leader, or work is lost or repeated") {
            val workers = listOf("i-1", "i-2").map { StandInWorker(it, TASK_MS) }
            workers.forEach { it.open() }
            PlatformProcess().use { host ->
                eventually(30.seconds) {
                    host.operator("PUT", "/config", CONFIGURATION).first shouldBe 200
                    host.caller("GET", "/plans/").first shouldBe 200
                }
                workers.forEach {
                    host.operator(
                        "PUT",
                        "/instances/${it.id}",
                        it.reportBody(SERVICE)
                    ).first shouldBe
                        200
                }
                val jobs = List(JOBS) { "5c0e7a21d94b%04x".format(it) }
                jobs.forEachIndexed { number, job ->
                    host.caller("POST", "/plans/$job", JOB).first shouldBe 200
                    val entry = oddEntries[number % oddEntries.size]
                    // Under an id of its own, and under the one of a sound worker.
                    val id = if (number % 2 == 0) "odd-$number" else "i-1"
                    host.operator("PUT", "/instances/$id", entry)
                }
                withClue(host.output()) {
                    eventually(30.seconds) {
                        jobs.filterNot { "completed" in host.caller("GET", "/plans/$it").second }
                            .shouldBeEmpty()
                    }
                    host.process.isAlive shouldBe true
                    val events = workers.flatMap { it.events }
                    events.filter { it.kind == "done" }.groupBy { it.task }
                        .filterValues { it.size > 1 }.keys.shouldBeEmpty()
                    events.count { it.kind == "started" } shouldBe JOBS * 3
                    host.output() shouldContain "rejects a registration"
                }
            }
            workers.forEach { it.close() }
        }
    })
