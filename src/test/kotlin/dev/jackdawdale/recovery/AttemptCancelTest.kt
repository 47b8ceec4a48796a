package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.sampleJob
import dev.jackdawdale.model.sampleRequest
import dev.jackdawdale.model.workId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class CancelCase(
    val name: String,
    val earlier: List<Event>,
    val requestId: String = "a",
    val expected: CancelDecision
)

private val sri = CustomerId("sri")
private val spec = sampleRequest("sri", "a")
private val accepted = Event.RequestAccepted(spec, 1, HostId("e1"))
private val placed = Event.RequestPlaced(
    spec.workId,
    EndpointId("p1"),
    1,
    HostId("e1"),
    1,
    FencingToken(1),
    100
)
private val marked = Event.CancelRequested(spec.workId)
private val job = Event.JobAccepted(sampleJob("sri", "a"), 1)

private fun accept(vararg events: Event) = CancelDecision.Accepted(events.toList())

private fun ended(mayHaveRun: Boolean) =
    Event.RequestEnded(spec.workId, Outcome.Cancelled(mayHaveRun))

class AttemptCancelTest :
    FunSpec({
        context("cancellation guards against") {
            withData(
                nameFn = { it.name },
                CancelCase(
                    "a waiting request runs after its cancellation",
                    listOf(accepted),
                    expected = accept(ended(mayHaveRun = false))
                ),
                CancelCase(
                    "a request with a broken attempt counts as not run",
                    listOf(
                        accepted,
                        placed,
                        Event.RequestRetried(spec.workId, FencingToken(1), 9, "")
                    ),
                    expected = accept(ended(mayHaveRun = true))
                ),
                CancelCase(
                    "a placed request ends before its attempt has ended",
                    listOf(accepted, placed),
                    expected = accept(marked)
                ),
                CancelCase(
                    "a repeated cancellation fills the log",
                    listOf(accepted, placed, marked),
                    expected = accept()
                ),
                CancelCase(
                    "a repeated cancellation of ended work fails",
                    listOf(accepted, ended(false)),
                    expected = accept()
                ),
                CancelCase(
                    "a cancelled job keeps running",
                    listOf(job),
                    expected = accept(
                        marked,
                        Event.JobEnded(marked.workId, Outcome.Cancelled(false))
                    )
                ),
                CancelCase("a job is cancelled twice", listOf(job, marked), expected = accept()),
                CancelCase(
                    "unknown work counts as cancelled",
                    listOf(accepted),
                    requestId = "b",
                    expected = CancelDecision.Refused(Refusal.NotFound("work sri/b"))
                )
            ) { case ->
                val state = case.earlier.fold(CellState()) { all, event -> all.apply(event, 1) }
                decideCancel(state, sri, workId(sri, case.requestId), 5) shouldBe case.expected
            }
        }

        test("a customer cannot cancel the work of another customer") {
            val state = CellState().apply(accepted, 1)
            decideCancel(state, CustomerId("teku"), spec.workId, 5) shouldBe
                CancelDecision.Refused(Refusal.NotFound("work sri/a"))
        }
    })
