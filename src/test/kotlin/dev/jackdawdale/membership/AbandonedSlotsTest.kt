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
        context("a slot counts as held while its attempt may still run") {
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
                    "retry after a whole answer 503",
                    Event.RequestRetried(work, token, 0, "503", mayStillRun = false),
                    SLOTS
                ),
                EndCase("never sent", Event.RequestNotSent(work, token), SLOTS),
                EndCase(
                    "failed with a whole answer",
                    Event.RequestEnded(work, Outcome.Failed("500")),
                    SLOTS
                )
            ) { case ->
                placed().apply(case.event, BROKEN_AT_MS).free shouldBe case.freeSlots
            }
        }

        context("an abandoned slot is free again") {
            val broken =
                placed().apply(Event.RequestRetried(work, token, 0, "reset"), BROKEN_AT_MS)
            val settledMs = BROKEN_AT_MS + ABANDONED_SETTLE_MS
            withData(
                nameFn = { it.name },
                FreeCase("not before its deadline", DEADLINE_MS - 1, null, SLOTS - 1),
                FreeCase("at its deadline", DEADLINE_MS, null, SLOTS),
                FreeCase("not while it is reported", settledMs, listOf(token), SLOTS - 1),
                FreeCase(
                    "not on a report that may be too early",
                    settledMs - 1,
                    listOf(),
                    SLOTS - 1
                ),
                FreeCase("on a settled report without it", settledMs, listOf(), SLOTS)
            ) { case ->
                val events = case.running
                    ?.let { decideReportedSlots(broken, sampleEndpoint("e1"), it, case.nowMs) }
                    ?: decideExpiredSlots(broken, case.nowMs)
                broken.apply(EventBatch(case.nowMs, events)).state.free shouldBe case.freeSlots
            }

            test("when the endpoint's process was replaced") {
                val restarted = Event.EndpointJoined(sampleEndpoint("e1", incarnation = 2))
                broken.apply(restarted, settledMs).free shouldBe SLOTS
            }
        }
    })
