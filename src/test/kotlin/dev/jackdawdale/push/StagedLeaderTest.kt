package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.PlacedTask
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private val stepId = StepId(TEST_JOB, 0, 0)

private fun placed(vararg indexes: Int) = StagedEvent.TasksPlaced(
    stepId,
    run = 1,
    term = 1,
    placed = indexes.map { PlacedTask(it, "w1", workerBoot = 1) }
)

/** A leader of term 2 after [events] of term 1; its worker lists run 1 of the tasks [running]. */
private class TakeOver(events: List<StagedEvent>, private val running: List<Int>) {
    val stopped = ArrayList<StageTaskId>()
    val started = ArrayList<StageTaskId>()
    private val leader = LeaderFixture(
        term = 2,
        events,
        WorkerClient(
            start = { _, order, _ -> started += order.taskId },
            stop = { _, taskId, _, _, _ -> stopped += taskId },
            report = { _, _, onResult ->
                val listed = running.map { ListedRun(StageTaskId(stepId, it), 1, "", 10) }
                onResult(ReportResult.Reported(RunReport(1, 500, listed, emptyList())))
            }
        )
    )

    fun runPasses(count: Int) = leader.runPasses(count)
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
        context("a new leader takes over the runs of earlier ones") {
            withData(
                nameFn = { it.name },
                TakeOverCase(
                    "a run that the worker lists is stopped or started again",
                    listOf(
                        StagedEvent.WorkerRegistered(testWorker),
                        acceptedJob(pair),
                        placed(0, 1)
                    ),
                    running = listOf(0, 1)
                ),
                TakeOverCase(
                    "a run that the worker does not list is not started again",
                    listOf(
                        StagedEvent.WorkerRegistered(testWorker),
                        acceptedJob(pair),
                        placed(0, 1)
                    ),
                    running = listOf(0),
                    started = listOf(1)
                ),
                TakeOverCase(
                    "the runs of a cancelled job are not stopped",
                    listOf(
                        StagedEvent.WorkerRegistered(testWorker),
                        acceptedJob(pair),
                        placed(0, 1),
                        StagedEvent.JobCancelled(TEST_JOB)
                    ),
                    running = listOf(0, 1),
                    stopped = listOf(0, 1)
                ),
                TakeOverCase(
                    "the rest of a gang that has lost a member is not stopped",
                    listOf(
                        StagedEvent.WorkerRegistered(testWorker),
                        acceptedJob(pair.copy(gang = true)),
                        placed(0)
                    ),
                    running = listOf(0),
                    stopped = listOf(0)
                )
            ) { case ->
                val takeOver = TakeOver(case.events, case.running)
                takeOver.runPasses(3)
                takeOver.stopped.map { it.index } shouldBe case.stopped
                takeOver.started.map { it.index } shouldBe case.started
            }
        }
    })
