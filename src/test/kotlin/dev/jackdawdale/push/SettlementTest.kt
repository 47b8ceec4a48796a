package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StepId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEED = 20261204
private const val ASKED_AT_MS = 10_000L
private const val NOW_MS = 10_020L
private const val WORKER_CLOCK_MS = 500L
private val task = StageTaskId(StepId("5c0e7a21d94b36f8", 0, 0), 0)

private fun held(start: StartState, stopAnsweredMs: Long? = null, checkpoint: String = "") =
    HeldRun(
        task,
        RunPlacement("w1", workerBoot = 1, run = 2, term = 3, placedAtMs = 9_000),
        Resources(1_000, 64),
        start,
        stopAnsweredMs = stopAnsweredMs,
        checkpoint = checkpoint
    )

private fun report(
    running: List<ListedRun> = emptyList(),
    ended: List<EndedRun> = emptyList(),
    clockMs: Long = WORKER_CLOCK_MS
) = RunReport(1, clockMs, running, ended)

private fun settle(run: HeldRun, report: RunReport) =
    settleReport(mapOf(task to run), report, ASKED_AT_MS, lastEnd = 0, nowMs = NOW_MS)

private class AbsentCase(val name: String, val run: HeldRun, val result: RunResult?)

private class EndCase(val name: String, val end: ListedEnd, val result: RunResult)

class SettlementTest :
    FunSpec({
        context("a run that is not listed keeps its room while an order can still take effect") {
            withData(
                nameFn = { it.name },
                AbsentCase("not sent yet", held(StartState.Unsent), null),
                AbsentCase("sent, valid", held(StartState.Sent(WORKER_CLOCK_MS)), null),
                AbsentCase(
                    "sent, expired on the worker's clock",
                    held(StartState.Sent(WORKER_CLOCK_MS - 1)),
                    RunResult.NEVER_RAN
                ),
                AbsentCase(
                    "sent, a stop was accepted after the lists were asked for",
                    held(StartState.Sent(WORKER_CLOCK_MS), stopAnsweredMs = ASKED_AT_MS + 1),
                    null
                ),
                AbsentCase(
                    "sent, a stop was accepted before the lists were asked for",
                    held(StartState.Sent(WORKER_CLOCK_MS), stopAnsweredMs = ASKED_AT_MS),
                    RunResult.NEVER_RAN
                ),
                AbsentCase(
                    "confirmed after the lists were asked for",
                    held(StartState.Confirmed(ASKED_AT_MS)),
                    null
                ),
                AbsentCase(
                    "confirmed before the lists were asked for",
                    held(StartState.Confirmed(ASKED_AT_MS - 1)),
                    RunResult.INTERRUPTED
                ),
                AbsentCase(
                    "ordered by an earlier leader",
                    held(StartState.Inherited),
                    RunResult.NEVER_RAN
                )
            ) { case ->
                val settled = settle(case.run, report())
                val expected = case.result?.let { StagedEvent.RunEnded(task, 2, it) }
                settled.events shouldBe listOfNotNull(expected)
                settled.held.isEmpty() shouldBe (case.result != null)
            }
        }

        context("a listed end is taken as it is listed") {
            withData(
                nameFn = { it.name },
                EndCase("success", ListedEnd.DONE, RunResult.SUCCEEDED),
                EndCase("a failure counts as an attempt", ListedEnd.FAILED, RunResult.FAILED),
                EndCase("a stop does not", ListedEnd.STOPPED, RunResult.INTERRUPTED),
                EndCase("a lapse does not", ListedEnd.LAPSED, RunResult.INTERRUPTED),
                EndCase("a broken gang does not", ListedEnd.BROKEN, RunResult.INTERRUPTED),
                EndCase("a gang that never met does not", ListedEnd.ALONE, RunResult.INTERRUPTED)
            ) { case ->
                val end = EndedRun(7, task, 2, case.end, "saved")
                val settled = settle(held(StartState.Confirmed(9_500)), report(ended = listOf(end)))
                settled.events shouldBe listOf(StagedEvent.RunEnded(task, 2, case.result, "saved"))
                settled.lastEnd shouldBe 7
            }
        }

        test("a run is settled although its end may be among those that are listed later") {
            val run = held(StartState.Confirmed(ASKED_AT_MS - 1))
            settle(run, report().copy(hasMoreEnds = true)).events shouldBe emptyList()
            settle(run, report()).events.size shouldBe 1
        }

        test("the end of an older run does not end the present one") {
            val end = EndedRun(7, task, 1, ListedEnd.DONE, "")
            val run = held(StartState.Sent(WORKER_CLOCK_MS))
            settle(run, report(ended = listOf(end))).events shouldBe emptyList()
        }

        test("a run that was placed elsewhere is unwanted") {
            val listed = ListedRun(task, 1, "", 10)
            val run = held(StartState.Sent(WORKER_CLOCK_MS))
            settle(run, report(running = listOf(listed))).unwanted shouldBe listOf(listed)
        }

        test("no run is settled while its worker could still start it (seed $SEED)") {
            val random = Random(SEED)
            repeat(20_000) {
                val expiresAtMs = random.nextLong(2_000)
                val clockMs = random.nextLong(2_000)
                val stopMs = if (random.nextBoolean()) random.nextLong(9_900, 10_100) else null
                val settled = settle(
                    held(StartState.Sent(expiresAtMs), stopMs),
                    report(clockMs = clockMs)
                )
                val mayStart = clockMs <= expiresAtMs && (stopMs == null || stopMs > ASKED_AT_MS)
                settled.held.isNotEmpty() shouldBe mayStart
            }
        }
    })
