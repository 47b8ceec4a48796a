package dev.jackdawdale.recovery

import dev.jackdawdale.bench.RequestCell
import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.blob
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleEndpoint
import dev.jackdawdale.model.sampleRequest
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val hostId = HostId("e1")
private val host = EntryHost(hostId, incarnation = 3, FailureDomain("kochi"))

private fun cell(): RequestCell {
    val cell = RequestCell(nowMs = 1_000)
    cell.append(Event.ContractChanged(ChangeId("c"), sampleContract("sri")))
    cell.append(Event.EntryHostJoined(host))
    repeat(3) { cell.append(Event.EndpointJoined(sampleEndpoint("p$it", slots = 50))) }
    return cell
}

private fun RequestCell.placed(spec: RequestSpec): FencingToken {
    submit(spec, hostId)
    routeOnce()
    return state.requests.getValue(spec.workId).placement!!.token
}

private val completeAnswer = AttemptResult.Answered(Answer(200, "text/plain", blob("plan")))
private val error = AttemptResult.Answered(Answer(500, "text/plain", blob("bad glass")))
private val busy = AttemptResult.Answered(Answer(503, "text/plain", blob("busy")))
private val broken = AttemptResult.Broken("reset")
private val notSent = AttemptResult.NotSent("refused")

private data class AttemptCase(
    val name: String,
    val idempotent: Boolean,
    val cancelled: Boolean = false,
    val deadlineMs: Long = 60_000,
    val result: AttemptResult,
    val expected: String
)

private fun summary(event: Event): String = when (event) {
    is Event.RequestEnded -> "${event.outcome} ${event.answer?.status}"
    else -> event::class.simpleName!!
}

class AttemptDecisionsTest :
    FunSpec({
        context("the end of an attempt guards against") {
            withData(
                nameFn = { it.name },
                AttemptCase(
                    "a complete answer is dropped",
                    idempotent = false,
                    result = completeAnswer,
                    expected = "Succeeded 200"
                ),
                AttemptCase(
                    "a non-idempotent request runs twice",
                    idempotent = false,
                    result = broken,
                    expected = "MayHaveRun(reason=reset) null"
                ),
                AttemptCase(
                    "a non-idempotent request that was never sent is given up",
                    idempotent = false,
                    result = notSent,
                    expected = "RequestNotSent"
                ),
                AttemptCase(
                    "an idempotent request is given up at the first break",
                    idempotent = true,
                    result = broken,
                    expected = "RequestRetried"
                ),
                AttemptCase(
                    "a retry starts after the deadline",
                    idempotent = true,
                    deadlineMs = 1_020,
                    result = broken,
                    expected = "MayHaveRun(reason=reset) null"
                ),
                AttemptCase(
                    "an error of the endpoint is hidden or repeated",
                    idempotent = true,
                    result = error,
                    expected = "Failed(reason=endpoint answered 500) 500"
                ),
                AttemptCase(
                    "an overloaded endpoint fails an idempotent request",
                    idempotent = true,
                    result = busy,
                    expected = "RequestRetried"
                ),
                AttemptCase(
                    "an overloaded endpoint makes a non-idempotent request run twice",
                    idempotent = false,
                    result = busy,
                    expected = "Failed(reason=endpoint answered 503) 503"
                ),
                AttemptCase(
                    "a cancelled request is retried",
                    idempotent = true,
                    cancelled = true,
                    result = broken,
                    expected = "Cancelled(mayHaveRun=true) null"
                ),
                AttemptCase(
                    "a cancelled request drops a complete answer",
                    idempotent = true,
                    cancelled = true,
                    result = completeAnswer,
                    expected = "Succeeded 200"
                ),
                AttemptCase(
                    "a cancelled request is retried after a 503",
                    idempotent = true,
                    cancelled = true,
                    result = busy,
                    expected = "Failed(reason=endpoint answered 503) 503"
                ),
                AttemptCase(
                    "a cancelled request that was never sent is placed again",
                    idempotent = true,
                    cancelled = true,
                    result = notSent,
                    expected = "Cancelled(mayHaveRun=false) null"
                )
            ) { case ->
                val cell = cell()
                val spec = sampleRequest("sri", "a", case.idempotent, case.deadlineMs)
                val token = cell.placed(spec)
                if (case.cancelled) cell.append(Event.CancelRequested(spec.workId))
                cell.finish(spec.workId, token, case.result).map(::summary) shouldBe
                    listOf(case.expected)
            }
        }

        test("a late result of an abandoned attempt does not end the request") {
            val cell = cell()
            val spec = sampleRequest("sri", "a")
            val old = cell.placed(spec)
            cell.finish(spec.workId, old, broken)
            cell.nowMs += 1_000
            cell.routeOnce()
            cell.finish(spec.workId, old, completeAnswer).shouldBeEmpty()
        }

        test("retries of a broken service stay within the retry budget") {
            val cell = cell()
            val events = (1..60).flatMap {
                val deadlineMs = cell.nowMs + 60_000
                val spec = sampleRequest("sri", "r$it", deadlineMs = deadlineMs)
                val token = cell.placed(spec)
                cell.nowMs += 20_000
                val again = cell.finish(spec.workId, token, broken)
                cell.append(Event.RequestEnded(spec.workId, Outcome.MayHaveRun("test")))
                again
            }
            // The floor of 3 plus 10 % of 60 first attempts.
            events.count { it is Event.RequestRetried } shouldBe 9
        }

        test("retries after the loss of a host do not all start at the same moment") {
            val cell = cell()
            repeat(3) { cell.placed(sampleRequest("sri", "r$it", kind = "k$it")) }
            val lost = decideEntryHostLost(cell.state, cell.recovery, hostId, 3, cell.nowMs)
            val times = lost.map { it.shouldBeInstanceOf<Event.RequestRetried>().notBeforeMs }
            times.forEach { it shouldBeInRange 1_025L..1_050L }
            times.toSet().size shouldBe 3
        }

        context("a new session guards against") {
            fun decided(incarnation: Long, held: Boolean, idempotent: Boolean): List<String> {
                val cell = cell()
                val spec = sampleRequest("sri", "a", idempotent)
                val token = cell.placed(spec)
                val attempts = if (held) listOf(HeldAttempt(spec.workId, token)) else emptyList()
                return decideSession(
                    cell.state,
                    cell.recovery,
                    hostId,
                    incarnation,
                    attempts,
                    cell.nowMs
                ).map(::summary)
            }

            test("an attempt that never arrived is lost") {
                decided(3, held = false, idempotent = false) shouldBe listOf("RequestNotSent")
            }
            test("an attempt in flight is placed again") {
                decided(3, held = true, idempotent = true).shouldBeEmpty()
            }
            test("a restarted host's attempt counts as not sent") {
                decided(4, held = false, idempotent = false) shouldBe
                    listOf("MayHaveRun(reason=entry host e1 restarted) null")
            }
            test("a restarted host's idempotent attempt is given up") {
                decided(4, held = false, idempotent = true) shouldBe listOf("RequestRetried")
            }
            test("a message of an older incarnation ends the newer one's attempts") {
                decided(2, held = false, idempotent = true).shouldBeEmpty()
            }
        }

        test("the loss of one host does not spend more than the retry budget") {
            val cell = cell()
            repeat(40) { cell.placed(sampleRequest("sri", "r$it", kind = "k$it")) }
            val lost = decideEntryHostLost(cell.state, cell.recovery, hostId, 3, cell.nowMs)
            lost.size shouldBe 40
            lost.count { it is Event.RequestRetried } shouldBe 7
        }
    })
