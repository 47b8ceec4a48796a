package dev.jackdawdale.push

import dev.jackdawdale.control.ControlSettings
import dev.jackdawdale.control.Pass
import dev.jackdawdale.control.softState
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.apply
import dev.jackdawdale.staged.PlacedTask
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.QueueSpec
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.telemetry.DecisionLog
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.apache.logging.log4j.LogManager

private const val JOB = "5c0e7a21d94b36f8"
private const val NOW_MS = 100_000L
private val stepId = StepId(JOB, 0, 0)
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

private fun accepted(step: StepSpec) =
    StagedEvent.JobAccepted(StagedJobSpec(JOB, queue.name, "payload", listOf(step)), queue)

private fun placed(vararg indexes: Int) = StagedEvent.TasksPlaced(
    stepId,
    run = 1,
    term = 1,
    placed = indexes.map { PlacedTask(it, "w1", workerBoot = 1) }
)

/** A leader of term 2 over [events] of term 1, whose worker lists run 1 of [running]. */
private class TakeOver(events: List<StagedEvent>, private val running: List<Int>) {
    val stopped = ArrayList<StageTaskId>()
    val started = ArrayList<StageTaskId>()
    private var state = CellState().apply(EventBatch(NOW_MS, events.map { Event.Staged(it) })).state
    private val actions = ArrayDeque<(Pass) -> Unit>()
    private val calls = WorkerCalls(
        start = { _, order, _ -> started += order.taskId },
        stop = { _, taskId, _, _, _ -> stopped += taskId },
        report = { _, _, onResult ->
            val listed = running.map { ListedRun(StageTaskId(stepId, it), 1, "", 10) }
            onResult(ReportResult.Reported(RunReport(1, 500, listed, emptyList())))
        }
    )
    private val leader = StagedLeader(
        term = 2,
        state.staged,
        PushSettings(),
        LeaderSurroundings(
            calls,
            submit = { actions += it },
            quorumHeardMs = { NOW_MS },
            clock = { NOW_MS },
            callingHosts = { emptySet() },
            askAdvice = { false }
        ),
        DecisionLog(LogManager.getLogger("test")),
        NOW_MS
    )

    fun passes(count: Int) = repeat(count) {
        val soft = softState(state, NOW_MS, ControlSettings())
        val pass = Pass(state, soft, NOW_MS)
        repeat(actions.size) { actions.removeFirst()(pass) }
        leader.decide(pass)
        state = pass.state
        pass.effects.forEach { it() }
    }
}

private class TakeOverCase(
    val name: String,
    val events: List<StagedEvent>,
    val running: List<Int>,
    val stopped: List<Int> = emptyList(),
    val started: List<Int> = emptyList()
)

private val pair = StepSpec(taskCount = 2, perTask = Resources(1_000, 64))

class StagedLeaderTest :
    FunSpec({
        context("a new leader goes on with what earlier ones left") {
            withData(
                nameFn = { it.name },
                TakeOverCase(
                    "runs go on, and are not started again",
                    listOf(StagedEvent.WorkerReported(worker), accepted(pair), placed(0, 1)),
                    running = listOf(0, 1)
                ),
                TakeOverCase(
                    "a run that the worker does not list is started again",
                    listOf(StagedEvent.WorkerReported(worker), accepted(pair), placed(0, 1)),
                    running = listOf(0),
                    started = listOf(1)
                ),
                TakeOverCase(
                    "the runs of a cancelled job are stopped",
                    listOf(
                        StagedEvent.WorkerReported(worker),
                        accepted(pair),
                        placed(0, 1),
                        StagedEvent.JobCancelled(JOB)
                    ),
                    running = listOf(0, 1),
                    stopped = listOf(0, 1)
                ),
                TakeOverCase(
                    "a gang that lost a member is stopped as a whole",
                    listOf(
                        StagedEvent.WorkerReported(worker),
                        accepted(pair.copy(gang = true)),
                        placed(0)
                    ),
                    running = listOf(0),
                    stopped = listOf(0)
                )
            ) { case ->
                val takeOver = TakeOver(case.events, case.running)
                takeOver.passes(3)
                takeOver.stopped.map { it.index } shouldBe case.stopped
                takeOver.started.map { it.index } shouldBe case.started
            }
        }
    })
