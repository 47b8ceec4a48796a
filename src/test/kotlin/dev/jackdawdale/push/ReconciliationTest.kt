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

private fun held(start: StartState, stopAcceptedMs: Long? = null, checkpoint: String = "") =
    HeldRun(
        task,
        RunPlacement("w1", workerBoot = 1, run = 2, term = 3, placedAtMs = 9_000),
        Resources(1_000, 64),
        start,
        stopAcceptedMs = stopAcceptedMs,
        checkpoint = checkpoint
    )

private fun report(
    running: List<ListedRun> = emptyList(),
    ended: List<EndedRun> = emptyList(),
    clockMs: Long = WORKER_CLOCK_MS
) = RunReport(1, clockMs, running, ended)

private fun reconcile(run: HeldRun, report: RunReport) =
    reconcileReport(mapOf(task to run), report, ASKED_AT_MS, lastEnd = 0, nowMs = NOW_MS)

private class AbsentCase(val name: String, val run: HeldRun, val result: RunResult?)

private class EndCase(val name: String, val end: ListedEnd, val result: RunResult)

class ReconciliationTest :
    FunSpec({
        context("an unlisted run ends only when its order can no longer take effect") {
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
                    "sent, a stop was accepted after the report was requested",
                    held(StartState.Sent(WORKER_CLOCK_MS), stopAcceptedMs = ASKED_AT_MS + 1),
                    null
                ),
                AbsentCase(
                    "sent, a stop was accepted before the report was requested",
                    held(StartState.Sent(WORKER_CLOCK_MS), stopAcceptedMs = ASKED_AT_MS),
                    RunResult.NEVER_RAN
                ),
                AbsentCase(
                    "confirmed after the report was requested",
                    held(StartState.Confirmed(ASKED_AT_MS)),
                    null
                ),
                AbsentCase(
                    "confirmed before the report was requested",
                    held(StartState.Confirmed(ASKED_AT_MS - 1)),
                    RunResult.INTERRUPTED
                ),
                AbsentCase(
                    "placed by an earlier leader",
                    held(StartState.Inherited),
                    RunResult.NEVER_RAN
                ),
                AbsentCase(
                    "of an earlier process, its order may still arrive here",
                    held(StartState.OfEarlierProcess(NOW_MS - 1, hasStarted = false)),
                    null
                ),
                AbsentCase(
                    "of an earlier process, whose lease holds",
                    held(
                        StartState.OfEarlierProcess(NOW_MS, hasStarted = false),
                        stopAcceptedMs = ASKED_AT_MS
                    ),
                    null
                ),
                AbsentCase(
                    "of an earlier process that had confirmed it, whose lease has expired",
                    held(
                        StartState.OfEarlierProcess(NOW_MS - 1, hasStarted = true),
                        stopAcceptedMs = ASKED_AT_MS
                    ),
                    RunResult.INTERRUPTED
                ),
                AbsentCase(
                    "of an earlier process that had not confirmed it, whose lease has expired",
                    held(
                        StartState.OfEarlierProcess(NOW_MS - 1, hasStarted = false),
                        stopAcceptedMs = ASKED_AT_MS
                    ),
                    RunResult.UNCONFIRMED
                )
            ) { case ->
                val reconciled = reconcile(case.run, report())
                val expected = case.result?.let { StagedEvent.RunEnded(task, 2, it) }
                reconciled.events shouldBe listOfNotNull(expected)
                reconciled.held.isEmpty() shouldBe (case.result != null)
            }
        }

        context("only a listed failure counts as a failed attempt") {
            withData(
                nameFn = { it.name },
                EndCase("success", ListedEnd.DONE, RunResult.SUCCEEDED),
                EndCase("failure", ListedEnd.FAILED, RunResult.FAILED),
                EndCase("stop", ListedEnd.STOPPED, RunResult.INTERRUPTED),
                EndCase("expired lease", ListedEnd.LAPSED, RunResult.INTERRUPTED),
                EndCase("broken gang", ListedEnd.BROKEN, RunResult.INTERRUPTED),
                EndCase("gang that was never complete", ListedEnd.ALONE, RunResult.INTERRUPTED)
            ) { case ->
                val end = EndedRun(7, task, 2, case.end, "saved")
                val reconciled =
                    reconcile(held(StartState.Confirmed(9_500)), report(ended = listOf(end)))
                reconciled.events shouldBe
                    listOf(StagedEvent.RunEnded(task, 2, case.result, "saved"))
                reconciled.lastEnd shouldBe 7
            }
        }

        context("what a later process lists of an earlier one's run is lost with its end") {
            withData(
                nameFn = { it.name },
                EndCase("success", ListedEnd.DONE, RunResult.SUCCEEDED),
                EndCase("failure", ListedEnd.FAILED, RunResult.FAILED),
                EndCase("stop", ListedEnd.STOPPED, RunResult.INTERRUPTED),
                EndCase("expired lease", ListedEnd.LAPSED, RunResult.INTERRUPTED)
            ) { case ->
                val end = EndedRun(7, task, 2, case.end, "saved")
                val earlier = StartState.OfEarlierProcess(NOW_MS, hasStarted = false)
                val run = held(earlier, stopAcceptedMs = ASKED_AT_MS)
                val first = reconcile(run, report(ended = listOf(end)))
                val second = reconcileReport(
                    first.held,
                    report(),
                    ASKED_AT_MS,
                    first.lastEnd,
                    nowMs = NOW_MS + 1
                )
                first.events + second.events shouldBe
                    listOf(StagedEvent.RunEnded(task, 2, case.result, "saved"))
            }
        }

        test("a run is ended as interrupted although a later report may list its end") {
            val run = held(StartState.Confirmed(ASKED_AT_MS - 1))
            reconcile(run, report().copy(hasMoreEnds = true)).events shouldBe emptyList()
            reconcile(run, report()).events.size shouldBe 1
        }

        test("a run is ended although its worker lists it in a row that can't be read") {
            val run = held(StartState.Confirmed(ASKED_AT_MS - 1))
            val unclear = report().copy(unclear = setOf(task))
            reconcile(run, unclear).events shouldBe emptyList()
        }

        test("the end of an older run ends the current one") {
            val end = EndedRun(7, task, 1, ListedEnd.DONE, "")
            val run = held(StartState.Sent(WORKER_CLOCK_MS))
            reconcile(run, report(ended = listOf(end))).events shouldBe emptyList()
        }

        test("a run that is not placed on the worker goes unnoticed") {
            val listed = ListedRun(task, 1, "", 10)
            val run = held(StartState.Sent(WORKER_CLOCK_MS))
            reconcile(run, report(running = listOf(listed))).unexpected shouldBe listOf(listed)
        }

        test("a run is ended while its worker can still start it (seed $SEED)") {
            val random = Random(SEED)
            repeat(20_000) {
                val expiresAtMs = random.nextLong(2_000)
                val clockMs = random.nextLong(2_000)
                val stopMs = if (random.nextBoolean()) random.nextLong(9_900, 10_100) else null
                val reconciled = reconcile(
                    held(StartState.Sent(expiresAtMs), stopMs),
                    report(clockMs = clockMs)
                )
                val mayStart = clockMs <= expiresAtMs && (stopMs == null || stopMs > ASKED_AT_MS)
                reconciled.held.isNotEmpty() shouldBe mayStart
            }
        }
    })
