package dev.jackdawdale.proof

import dev.jackdawdale.standin.JournalEvent
import dev.jackdawdale.testing.CallerAnswer
import dev.jackdawdale.testing.CellPlan
import dev.jackdawdale.testing.TestCell
import dev.jackdawdale.testing.violations
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

private const val REQUESTS = 80
private const val RUN_MS = 400

private class PlannedStop(val name: String, val target: TestCell.() -> String)

private val stops = listOf(
    PlannedStop("leader") { awaitLeader() },
    PlannedStop("follower") {
        val leader = awaitLeader()
        listOf("c1", "c2", "c3").first { it != leader }
    },
    PlannedStop("entry host") { "e1" },
    PlannedStop("endpoint") { "ep1" }
)

/** A planned stop of a host or endpoint cuts off no request in flight and exits with status 0. */
class PlannedStopIT :
    FunSpec({
        withData(nameFn = { it.name }, stops) { stop ->
            TestCell(CellPlan(proxied = false)).use { cell ->
                cell.startHosts()
                cell.awaitReady()
                cell.awaitUntil("contract accepted", 10_000) { cell.putContract() == 200 }
                listOf("ep1", "ep2", "ep3").forEach {
                    cell.startEndpoint(it, "planning", "--slots", "8")
                }
                Callers(cell.entryHosts.map { cell.url(it.id) }, REQUESTS).use { callers ->
                    val pending = List(REQUESTS) {
                        callers.send(
                            CallerRequest("r$it", "run_ms=$RUN_MS", idempotent = false, kind = "k")
                        )
                    }
                    cell.awaitUntil("requests run", 30_000) {
                        cell.journals().any { it.event == JournalEvent.START }
                    }
                    cell.process(stop.target(cell)).terminate() shouldBe 0
                    val last = pending.map { it.get(60, TimeUnit.SECONDS) }
                    withClue(cell.logs()) {
                        last.filter { it.outcome != "succeeded" }.shouldBeEmpty()
                        callers.answers.filter(CallerAnswer::wasCutOff).shouldBeEmpty()
                        violations(cell.evidenceAt("e2", callers.answers)).shouldBeEmpty()
                    }
                }
            }
        }
    })

/** True if no answer came or it says that the request may have run. */
private fun CallerAnswer.wasCutOff(): Boolean = status == null || outcome == "may_have_run"
