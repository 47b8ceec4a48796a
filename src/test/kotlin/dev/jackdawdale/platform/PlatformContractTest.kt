package dev.jackdawdale.platform

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration.Companion.seconds

private const val QUEUE = "/plans/"
private const val JOB = "5c0e7a21d94b36f8"
private const val SERVICE = "planning"

private fun configuration(version: Int, timeoutMs: Int = 3_000) = """{"version":$version,
"routes":[{"name":"plans","host":"127.0.0.1","pathPrefix":"$QUEUE","type":"unsafe",
"timeoutMs":$timeoutMs,"targetLatencyMs":1000,"priority":1,"service":"$SERVICE","maxAttempts":3,
"stretch":2.0,"advice":{"decisionMs":1.0,"perWorkerMs":0.1,"validityMs":2000}}],
"services":[{"name":"$SERVICE"}],"limits":{}}"""

private fun job(count: Int) =
    """{"spec":"order 17","steps":[{"count":$count,"cpu":1000,"memMb":64,"estimatedMs":50},
{"count":2,"cpu":2000,"memMb":64,"estimatedMs":50,"gang":true,"after":[0]}]}"""

private class AnswerCase(
    val name: String,
    val method: String,
    val path: String,
    val body: String,
    val status: Int
)

private val callerCases = listOf(
    AnswerCase("a body that is not JSON", "POST", "$QUEUE$JOB", "{", 400),
    AnswerCase("a job without steps", "POST", "$QUEUE$JOB", """{"spec":"x","steps":[]}""", 400),
    AnswerCase(
        "a step of another type",
        "POST",
        "$QUEUE$JOB",
        """{"steps":[{"count":"2"}]}""",
        400
    ),
    AnswerCase(
        "a step that depends on itself",
        "POST",
        "$QUEUE$JOB",
        """{"steps":[{"count":1,"after":[0]}]}""",
        400
    ),
    AnswerCase("no such queue", "POST", "/none/$JOB", job(1), 404),
    AnswerCase("the state of a job that was never submitted", "GET", "$QUEUE$JOB", "", 410),
    AnswerCase("a method that is not allowed", "PUT", "$QUEUE$JOB", "", 405),
    AnswerCase("the count of a queue", "GET", QUEUE, "", 200),
    AnswerCase("the count of an unknown queue", "GET", "/none/", "", 404)
)

private val operatorCases = listOf(
    AnswerCase("a truncated configuration", "PUT", "/config", configuration(9).dropLast(20), 400),
    AnswerCase("no timeout", "PUT", "/config", configuration(9, timeoutMs = 0), 400),
    AnswerCase("an older version", "PUT", "/config", configuration(3), 200),
    AnswerCase("other content, same version", "PUT", "/config", configuration(5, 1_234), 200),
    AnswerCase("a report that is not JSON", "PUT", "/instances/i-9", "\u0000", 400),
    AnswerCase("a report without fields", "PUT", "/instances/i-9", "{}", 400),
    AnswerCase("an unknown worker leaves", "DELETE", "/instances/i-9", "", 200)
)

class PlatformContractTest :
    FunSpec({
        test("every call gets its exact status, and an invalid one changes nothing") {
            platformCell(listOf(StandInWorker("i-1"), StandInWorker("i-2"))).use { cell ->
                eventually(20.seconds) { cell.readiness().status shouldBe 200 }
                cell.caller("POST", "$QUEUE$JOB", job(1)).status shouldBe 503
                cell.operator("GET", "/config").status shouldBe 503
                cell.open(configuration(5), SERVICE)
                val wrong = callerCases.filter {
                    cell.caller(it.method, it.path, it.body).status != it.status
                } + operatorCases.filter {
                    cell.operator(it.method, it.path, it.body).status != it.status
                }
                wrong.map { it.name }.shouldBeEmpty()
                cell.operator("GET", "/config").body shouldBe configuration(5)
                cell.workers.flatMap { it.events }.shouldBeEmpty()
            }
        }

        test("a job that is submitted twice runs once, and its steps keep their order") {
            platformCell(listOf(StandInWorker("i-1"), StandInWorker("i-2"))).use { cell ->
                cell.open(configuration(5), SERVICE)
                repeat(2) { cell.caller("POST", "$QUEUE$JOB", job(3)).status shouldBe 200 }
                eventually(10.seconds) {
                    cell.caller("GET", "$QUEUE$JOB").body shouldContain "completed"
                }
                cell.caller("POST", "$QUEUE$JOB", job(3)).body shouldContain "completed"
                val started = cell.workers.flatMap { it.events }.filter { it.kind == "started" }
                started.map { it.task }.sorted() shouldBe
                    listOf("0.0.0", "0.0.1", "0.0.2", "0.1.0", "0.1.1").map { "$JOB.$it" }
            }
        }

        test("the metrics address serves the metrics of the leader") {
            platformCell(listOf(StandInWorker("i-1"), StandInWorker("i-2"))).use { cell ->
                cell.open(configuration(5), SERVICE)
                cell.caller("POST", "$QUEUE$JOB", job(3)).status shouldBe 200
                eventually(10.seconds) {
                    cell.caller("GET", "$QUEUE$JOB").body shouldContain "completed"
                }
                eventually(10.seconds) {
                    val page = cell.metrics().body
                    page shouldContain
                        Regex("wait_before_start_seconds_count.class=\"batch\".* 1\\b")
                    page shouldContain Regex("advice_calls_seconds_count.end=\"given\".* [1-9]")
                    page shouldContain Regex("steps_waiting.*reason=\"no_room\".* 0.0")
                }
            }
        }

        test("a start order that is executed late does not run its task twice") {
            val late = StandInWorker("i-1", taskMs = 400) { order ->
                if (order % 2 == 1) OrderFault(answerLost = true, delayMs = 700) else OrderFault()
            }
            platformCell(listOf(late)).use { cell ->
                cell.open(configuration(5), SERVICE)
                cell.caller("POST", "$QUEUE$JOB", job(3)).status shouldBe 200
                eventually(20.seconds) {
                    cell.caller("GET", "$QUEUE$JOB").body shouldContain "completed"
                }
                val done = late.events.filter { it.kind == "done" }.groupBy { it.task }
                done.filterValues { it.size > 1 }.keys.shouldBeEmpty()
            }
        }

        test("a task is lost or done twice when its worker starts again under its old id") {
            val workers = List(2) { StandInWorker("i-$it", taskMs = 1_000, firstClockMs = 500_000) }
            platformCell(workers).use { cell ->
                cell.open(configuration(5), SERVICE)
                cell.caller("POST", "$QUEUE$JOB", job(1)).status shouldBe 200
                eventually(10.seconds) { workers.flatMap { it.events }.size shouldBe 1 }
                val restarted = workers.single { it.events.isNotEmpty() }
                restarted.restart()
                val report = restarted.reportBody(SERVICE)
                cell.operator("PUT", "/instances/${restarted.id}", report).status shouldBe 200
                eventually(60.seconds) {
                    cell.caller("GET", "$QUEUE$JOB").body shouldContain "completed"
                }
                val events = workers.flatMap { it.events }
                events.filter { it.kind == "lost" }.map { it.task } shouldBe listOf("$JOB.0.0.0")
                val done = events.filter { it.kind == "done" }.map { it.task }.sorted()
                done shouldBe listOf("0.0.0", "0.1.0", "0.1.1").map { "$JOB.$it" }
            }
        }

        test("a job that is cancelled before it is submitted never runs") {
            platformCell(listOf(StandInWorker("i-1"))).use { cell ->
                cell.open(configuration(5), SERVICE)
                cell.caller("DELETE", "$QUEUE$JOB").status shouldBe 410
                cell.caller("POST", "$QUEUE$JOB", job(1)).status shouldBe 200
                cell.caller("GET", "$QUEUE$JOB").body shouldContain "cancelled"
                cell.workers.flatMap { it.events }.shouldBeEmpty()
            }
        }
    })
