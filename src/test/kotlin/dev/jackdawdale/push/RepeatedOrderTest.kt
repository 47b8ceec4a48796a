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
private val taskId = StageTaskId(StepId(PLAY_JOB, 0, 0), 0)
private val lost = StartResult.Unknown("no answer")

/** A leader with one worker that answers start orders as [answers] say, the last one for ever. */
private class OrderPlay(private val answers: List<StartResult>, private val end: EndedRun?) {
    val startedRuns = ArrayList<Int>()
    val stoppedRuns = ArrayList<Int>()
    private val calls = WorkerCalls(
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
    private val play = LeaderPlay(
        term = 1,
        listOf(
            StagedEvent.WorkerReported(playWorker),
            acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))
        ),
        calls,
        PASS_MS
    )

    val outcome: JobOutcome? get() = play.staged.job(PLAY_JOB)?.outcome

    fun passes(count: Int) = play.passes(count)

    private fun report(): RunReport {
        val ended = if (startedRuns.isEmpty()) emptyList() else listOfNotNull(end)
        return RunReport(1, play.nowMs, emptyList(), ended)
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
        context("an order without an answer may have run") {
            withData(
                nameFn = { it.guardsAgainst },
                OrderCase(
                    "a run that was done already starts a second time",
                    listOf(lost, refused(StartRefusal.OLD_RUN)),
                    end = ListedEnd.DONE,
                    startedRuns = listOf(1, 1),
                    outcome = JobOutcome.COMPLETED
                ),
                OrderCase(
                    "a run that ended before the repetition came too late starts a second time",
                    listOf(lost, refused(StartRefusal.TOO_LATE)),
                    end = ListedEnd.DONE,
                    startedRuns = listOf(1, 1),
                    outcome = JobOutcome.COMPLETED
                ),
                OrderCase(
                    "an order that may still arrive is forgotten because its repetition had no room",
                    listOf(lost, refused(StartRefusal.NO_ROOM), StartResult.Started),
                    startedRuns = listOf(1, 1, 2),
                    stoppedRuns = listOf(1)
                ),
                OrderCase(
                    "a first order that was refused holds its task back",
                    listOf(refused(StartRefusal.NO_ROOM), StartResult.Started),
                    startedRuns = listOf(1, 2)
                )
            ) { case ->
                val end = case.end?.let { EndedRun(1, taskId, 1, it, "") }
                val play = OrderPlay(case.answers, end)
                play.passes(10)
                play.startedRuns.take(case.startedRuns.size) shouldBe case.startedRuns
                play.stoppedRuns.take(1) shouldBe case.stoppedRuns
                play.outcome shouldBe case.outcome
            }
        }
    })
