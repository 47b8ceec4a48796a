package dev.jackdawdale.membership

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.freeSlots
import dev.jackdawdale.model.sampleEndpoint
import dev.jackdawdale.model.sampleRequest
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val SLOTS = 8
private const val BROKEN_AT_MS = 10_000L
private const val DEADLINE_MS = 60_000L
private val token = FencingToken(1)
private val work = WorkId("acme/r1")

private fun placed(): CellState = CellState().apply(
    EventBatch(
        1_000,
        listOf(
            Event.EndpointJoined(sampleEndpoint("e1", slots = SLOTS)),
            Event.RequestAccepted(
                sampleRequest("acme", "r1", deadlineMs = DEADLINE_MS),
                1,
                HostId("h1")
            ),
            Event.RequestPlaced(work, EndpointId("e1"), 1, HostId("h1"), 1, token, 3_000)
        )
    )
).state

private val CellState.free: Int? get() = endpoints[EndpointId("e1")]?.freeSlots

private class EndCase(val name: String, val event: Event, val freeSlots: Int)

private class FreeCase(
    val name: String,
    val nowMs: Long,
    val running: List<FencingToken>?,
    val freeSlots: Int
)

class AbandonedSlotsTest :
    FunSpec({
        context("a slot is held exactly as long as its attempt may run") {
            withData(
                nameFn = { it.name },
                EndCase(
                    "retry after a broken connection",
                    Event.RequestRetried(work, token, 0, "reset"),
                    SLOTS - 1
                ),
                EndCase(
                    "end as may have run",
                    Event.RequestEnded(work, Outcome.MayHaveRun("reset")),
                    SLOTS - 1
                ),
                EndCase(
                    "retry after a complete answer 503",
                    Event.RequestRetried(work, token, 0, "503", mayStillRun = false),
                    SLOTS
                ),
                EndCase("never sent", Event.RequestNotSent(work, token), SLOTS),
                EndCase(
                    "failed with a complete answer",
                    Event.RequestEnded(work, Outcome.Failed("500")),
                    SLOTS
                )
            ) { case ->
                placed().apply(case.event, BROKEN_AT_MS).free shouldBe case.freeSlots
            }
        }

        context("an abandoned slot is neither freed too early nor held forever") {
            val broken =
                placed().apply(Event.RequestRetried(work, token, 0, "reset"), BROKEN_AT_MS)
            val arrivedMs = BROKEN_AT_MS + ABANDONED_IN_TRANSIT_MS
            withData(
                nameFn = { it.name },
                FreeCase("held before its deadline", DEADLINE_MS - 1, null, SLOTS - 1),
                FreeCase("free at its deadline", DEADLINE_MS, null, SLOTS),
                FreeCase("held while it is reported", arrivedMs, listOf(token), SLOTS - 1),
                FreeCase(
                    "held if the request may be in transit at the report",
                    arrivedMs - 1,
                    listOf(),
                    SLOTS - 1
                ),
                FreeCase("free if a later report omits it", arrivedMs, listOf(), SLOTS)
            ) { case ->
                val events = case.running
                    ?.let { decideReportedSlots(broken, sampleEndpoint("e1"), it, case.nowMs) }
                    ?: decideExpiredSlots(broken, case.nowMs)
                broken.apply(EventBatch(case.nowMs, events)).state.free shouldBe case.freeSlots
            }

            test("free after the endpoint restarts") {
                val restarted = Event.EndpointJoined(sampleEndpoint("e1", incarnation = 2))
                broken.apply(restarted, arrivedMs).free shouldBe SLOTS
            }
        }
    })
