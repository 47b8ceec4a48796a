package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.JobOutcome
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.job
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val PASS_MS = 20L
private val taskId = StageTaskId(StepId(TEST_JOB, 0, 0), 0)
private val lost = StartResult.Unknown("no answer")

/** A leader with one worker; [answers] are its answers to start orders, the last one repeats. */
private class OrderFixture(private val answers: List<StartResult>, private val end: EndedRun?) {
    val startedRuns = ArrayList<Int>()
    val stoppedRuns = ArrayList<Int>()
    private val calls = WorkerClient(
        start = { _, order, onResult ->
            startedRuns += order.run
            onResult(answers.getOrElse(startedRuns.size - 1) { answers.last() })
        },
        stop = { _, _, run, _, onResult ->
            stoppedRuns += run
            onResult(StopResult.ACCEPTED)
        },
        report = { _, _, onResult -> onResult(ReportResult.Reported(report())) }
    )
    private val leader = LeaderFixture(
        term = 1,
        listOf(
            StagedEvent.WorkerRegistered(testWorker),
            acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))
        ),
        calls,
        PASS_MS
    )

    val outcome: JobOutcome? get() = leader.staged.job(TEST_JOB)?.outcome

    fun runPasses(count: Int) = leader.runPasses(count)

    private fun report(): RunReport {
        val ended = if (startedRuns.isEmpty()) emptyList() else listOfNotNull(end)
        return RunReport(1, leader.nowMs, emptyList(), ended)
    }
}

private class OrderCase(
    val guardsAgainst: String,
    val answers: List<StartResult>,
    val end: ListedEnd? = null,
    val startedRuns: List<Int>,
    val stoppedRuns: List<Int> = emptyList(),
    val outcome: JobOutcome? = null
)

private fun refused(refusal: StartRefusal) = StartResult.Refused(refusal)

class RepeatedOrderTest :
    FunSpec({
        context("a start order without an answer may have taken effect") {
            withData(
                nameFn = { it.guardsAgainst },
                OrderCase(
                    "a run that has already succeeded starts again",
                    listOf(lost, refused(StartRefusal.OLD_RUN)),
                    end = ListedEnd.DONE,
                    startedRuns = listOf(1, 1),
                    outcome = JobOutcome.COMPLETED
                ),
                OrderCase(
                    "a run starts again although it ended before its repeated order expired",
                    listOf(lost, refused(StartRefusal.TOO_LATE)),
                    end = ListedEnd.DONE,
                    startedRuns = listOf(1, 1),
                    outcome = JobOutcome.COMPLETED
                ),
                OrderCase(
                    "an order that may still arrive is dropped after a refusal of its repetition",
                    listOf(lost, refused(StartRefusal.NO_ROOM), StartResult.Started()),
                    startedRuns = listOf(1, 1, 2),
                    stoppedRuns = listOf(1)
                ),
                OrderCase(
                    "a task is not retried after its first order was refused",
                    listOf(refused(StartRefusal.NO_ROOM), StartResult.Started()),
                    startedRuns = listOf(1, 2)
                )
            ) { case ->
                val end = case.end?.let { EndedRun(1, taskId, 1, it, "") }
                val leader = OrderFixture(case.answers, end)
                leader.runPasses(10)
                leader.startedRuns.take(case.startedRuns.size) shouldBe case.startedRuns
                leader.stoppedRuns.take(1) shouldBe case.stoppedRuns
                leader.outcome shouldBe case.outcome
            }
        }
    })
