package dev.jackdawdale.push

import dev.jackdawdale.control.ControlSettings
import dev.jackdawdale.control.Pass
import dev.jackdawdale.control.softState
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.apply
import dev.jackdawdale.staged.JobOutcome
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.QueueSpec
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.job
import dev.jackdawdale.telemetry.DecisionLog
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.apache.logging.log4j.LogManager

private const val JOB = "5c0e7a21d94b36f8"
private const val START_MS = 100_000L
private const val PASS_MS = 20L
private val taskId = StageTaskId(StepId(JOB, 0, 0), 0)
private val lost = StartResult.Unknown("no answer")
private val queue = QueueSpec("plans", "host", "/plans/", "planning", maxAttempts = 2)
private val worker = PushWorker(
    "w1",
    boot = 1,
    address = "127.0.0.1:1",
    service = "planning",
    failureDomain = "local",
    cpuMillis = 64_000,
    memoryMib = 64_000,
    accelerators = 0,
    labels = listOf("a", "r1")
)

/** A leader with one worker that answers start orders as [answers] say, the last one for ever. */
private class OrderPlay(private val answers: List<StartResult>, private val end: EndedRun?) {
    val startedRuns = ArrayList<Int>()
    val stoppedRuns = ArrayList<Int>()
    private var nowMs = START_MS
    private var state = CellState().apply(
        EventBatch(
            START_MS,
            listOf(
                StagedEvent.WorkerReported(worker),
                StagedEvent.JobAccepted(
                    StagedJobSpec(
                        JOB,
                        queue.name,
                        "payload",
                        listOf(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))
                    ),
                    queue
                )
            ).map { Event.Staged(it) }
        )
    ).state
    private val actions = ArrayDeque<(Pass) -> Unit>()
    private val calls = WorkerCalls(
        start = { _, order, onResult ->
            startedRuns += order.run
            onResult(answers.getOrElse(startedRuns.size - 1) { answers.last() })
        },
        stop = { _, _, run, _, onResult ->
            stoppedRuns += run
            onResult(StopResult.ACCEPTED)
        },
        report = { _, _, onResult ->
            val ended = if (startedRuns.isEmpty()) emptyList() else listOfNotNull(end)
            onResult(ReportResult.Reported(RunReport(1, nowMs, emptyList(), ended)))
        }
    )
    private val leader = StagedLeader(
        term = 1,
        state.staged,
        PushSettings(),
        LeaderSurroundings(
            calls,
            submit = { actions += it },
            quorumHeardMs = { nowMs },
            clock = { nowMs },
            callingHosts = { emptySet() },
            askAdvice = { false }
        ),
        DecisionLog(LogManager.getLogger("test")),
        START_MS
    )

    val outcome: JobOutcome? get() = state.staged.job(JOB)?.outcome

    fun passes(count: Int) = repeat(count) {
        nowMs += PASS_MS
        val pass = Pass(state, softState(state, nowMs, ControlSettings()), nowMs)
        repeat(actions.size) { actions.removeFirst()(pass) }
        leader.decide(pass)
        state = pass.state
        pass.effects.forEach { it() }
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
