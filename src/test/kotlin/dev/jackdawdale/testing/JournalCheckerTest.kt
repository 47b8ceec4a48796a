package dev.jackdawdale.testing

import dev.jackdawdale.standin.JournalEvent
import dev.jackdawdale.standin.JournalLine
import dev.jackdawdale.standin.Mark
import dev.jackdawdale.standin.sha256Hex
import dev.jackdawdale.standin.snakeJson
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.serialization.encodeToString

private fun line(atMs: Long, source: String, event: JournalEvent, token: Long? = null) =
    JournalLine(atMs, source, 1, event, token = token)

private fun upEndpoint(source: String) = line(0, source, JournalEvent.UP).copy(slots = 1)

private fun upWorker(source: String) = line(0, source, JournalEvent.UP)
    .copy(cpuMillis = 100, memoryMib = 100, accelerators = 1)

private fun request(atMs: Long, source: String, event: JournalEvent, workId: String, token: Long) =
    line(atMs, source, event, token).copy(workId = workId)

private fun task(atMs: Long, source: String, event: JournalEvent, token: Long, index: Int = 0) =
    line(atMs, source, event, token)
        .copy(taskId = "c/j#$index", cpuMillis = 60, memoryMib = 10, accelerators = 0)

private val bodyHash = sha256Hex("body".encodeToByteArray())

private fun mark(workId: String, hash: String = bodyHash) =
    snakeJson.encodeToString(Mark(workId, 1, hash, "e1"))

private fun answer(body: String?, outcome: String? = "succeeded", ran: String? = null) =
    CallerAnswer("c/1", false, bodyHash, 200, outcome, ran, body)

private data class CheckerCase(val name: String, val evidence: Evidence, val expected: Guarantee?)

private val start = JournalEvent.START
private val end = JournalEvent.END
private val ranOnce = listOf(
    upEndpoint("e1"),
    request(1, "e1", start, "c/1", 1),
    request(2, "e1", end, "c/1", 1)
)

private val cases = listOf(
    CheckerCase(
        "two requests in one slot",
        Evidence(ranOnce.take(2) + request(2, "e1", start, "c/2", 2)),
        Guarantee.OVER_CAPACITY
    ),
    CheckerCase(
        "two tasks that exceed the processors only",
        Evidence(listOf(upWorker("w1"), task(1, "w1", start, 1), task(2, "w1", start, 2, 1))),
        Guarantee.OVER_CAPACITY
    ),
    CheckerCase(
        "a task that exceeds the memory only",
        Evidence(listOf(upWorker("w1"), task(1, "w1", start, 1).copy(memoryMib = 101))),
        Guarantee.OVER_CAPACITY
    ),
    CheckerCase(
        "a task that exceeds the accelerators only",
        Evidence(listOf(upWorker("w1"), task(1, "w1", start, 1).copy(accelerators = 2))),
        Guarantee.OVER_CAPACITY
    ),
    CheckerCase(
        "a task on two workers at once",
        Evidence(
            listOf(
                upWorker("w1"),
                upWorker("w2"),
                task(1, "w1", start, 1),
                task(4, "w2", start, 2),
                task(5, "w1", JournalEvent.STOP, 1)
            )
        ),
        Guarantee.TASK_IN_TWO_PLACES
    ),
    CheckerCase(
        "a task that never ended and started elsewhere",
        Evidence(
            listOf(
                upWorker("w1"),
                upWorker("w2"),
                task(1, "w1", start, 1),
                task(9, "w2", start, 2)
            )
        ),
        Guarantee.TASK_IN_TWO_PLACES
    ),
    CheckerCase(
        "a run with an older token",
        Evidence(
            listOf(
                upWorker("w1"),
                task(1, "w1", start, 2),
                task(2, "w1", end, 2),
                task(3, "w1", start, 1)
            )
        ),
        Guarantee.OLD_TOKEN_RAN
    ),
    CheckerCase(
        "the answer of another request",
        Evidence(ranOnce, listOf(answer(mark("c/2")))),
        Guarantee.WRONG_OR_PARTIAL_ANSWER
    ),
    CheckerCase(
        "a truncated answer",
        Evidence(ranOnce, listOf(answer(mark("c/1").dropLast(5)))),
        Guarantee.WRONG_OR_PARTIAL_ANSWER
    ),
    CheckerCase(
        "an answer to another body",
        Evidence(ranOnce, listOf(answer(mark("c/1", sha256Hex(byteArrayOf(1)))))),
        Guarantee.WRONG_OR_PARTIAL_ANSWER
    ),
    CheckerCase(
        "a record that says not run for work that ran",
        Evidence(ranOnce, records = listOf(RecordedOutcome("c/1", "not_run"))),
        Guarantee.NOT_RUN_BUT_RAN
    ),
    CheckerCase(
        "a refusal that says not run for work that ran",
        Evidence(ranOnce, listOf(answer(null, null, "no"))),
        Guarantee.NOT_RUN_BUT_RAN
    ),
    CheckerCase(
        "a non-idempotent request that ran twice",
        Evidence(
            ranOnce + request(3, "e1", start, "c/1", 2),
            listOf(answer(mark("c/1")))
        ),
        Guarantee.NON_IDEMPOTENT_RAN_TWICE
    ),
    CheckerCase(
        "work after the leave bound",
        Evidence(
            listOf(
                upEndpoint("e1"),
                line(10, "e1", JournalEvent.LEAVING),
                request(2_011, "e1", start, "c/1", 1)
            )
        ),
        Guarantee.WORK_AFTER_LEAVE
    ),
    CheckerCase(
        "accepted work without a record",
        Evidence(ranOnce, listOf(answer(mark("c/1"))), recordsAreComplete = true),
        Guarantee.LOST_WORK
    ),
    CheckerCase(
        "a record of success for work that never started",
        Evidence(listOf(upEndpoint("e1")), records = listOf(RecordedOutcome("c/1", "succeeded"))),
        Guarantee.SUCCEEDED_WITHOUT_RUN
    ),
    CheckerCase(
        "none: a task moves to another worker after its worker is killed",
        Evidence(
            listOf(
                upWorker("w1"),
                upWorker("w2"),
                task(1, "w1", start, 1),
                line(5, "w1", JournalEvent.DOWN),
                task(6, "w2", start, 2),
                task(9, "w2", end, 2)
            )
        ),
        null
    ),
    CheckerCase(
        "none: a refused try whose resend was accepted",
        Evidence(
            ranOnce,
            listOf(answer(null, null, "no"), answer(mark("c/1"))),
            listOf(RecordedOutcome("c/1", "succeeded", idempotent = false)),
            recordsAreComplete = true
        ),
        null
    )
)

class JournalCheckerTest :
    FunSpec({
        context("each violation in the evidence is reported, and no other") {
            withData(nameFn = { it.name }, cases) { case ->
                violations(case.evidence).map { it.guarantee } shouldBe listOfNotNull(case.expected)
            }
        }
    })
