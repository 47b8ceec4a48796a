package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec

private const val PASSES_PER_S = 50
internal val runningTaskId = StageTaskId(StepId(TEST_JOB, 0, 0), 0)
private val job = acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))
private val other = testWorker.copy(workerId = "w2", address = "127.0.0.1:2")

/** A leader with two workers, of which w1 runs a task. */
internal class RunningTask {
    /** The reports of w1, and its answer to a stop, or null for none. */
    var answer: (nowMs: Long) -> ReportResult = { listed(it) }
    var stopAnswer: StopResult? = null

    /** Numbers of the runs that w1 was told to stop. */
    val stops = ArrayList<Int>()
    private var percent = 1
    private var started = false
    val cell = StagedControlFixture(
        listOf(job),
        report = { worker, nowMs ->
            if (worker.workerId == "w1" && started) answer(nowMs) else report(nowMs)
        },
        stop = { _, _, run ->
            stops += run
            stopAnswer
        }
    )

    init {
        cell.becomeLeader(term = 1)
        register(testWorker)
        cell.runPasses(2)
        cell.startResults.single()(StartResult.Started())
        started = true
        register(other)
        runFor(seconds = 1.0)
    }

    fun register(worker: PushWorker, sequence: Long = 1) = cell.submit { pass ->
        workerRegistered(pass, WorkerRegistration(worker, sequence)) {}
    }

    fun leave(onAnswer: () -> Unit = {}) =
        cell.submit { pass -> workerLeaves(pass, testWorker.workerId, onAnswer) }

    fun runFor(seconds: Double) = cell.runPasses((seconds * PASSES_PER_S).toInt())

    /** A report that lists the run as running, or nothing. */
    fun listed(nowMs: Long, boot: Long = 1, running: Boolean = true): ReportResult {
        val run = ListedRun(runningTaskId, 1, "", percent++)
        return report(nowMs, listOfNotNull(run.takeIf { running }), boot = boot)
    }

    /** A report that lists the run as stopped. */
    fun ended(nowMs: Long): ReportResult =
        report(nowMs, ended = listOf(EndedRun(1, runningTaskId, 1, ListedEnd.STOPPED, "")))

    private fun report(
        nowMs: Long,
        running: List<ListedRun> = emptyList(),
        ended: List<EndedRun> = emptyList(),
        boot: Long = 1
    ): ReportResult = ReportResult.Reported(RunReport(boot, nowMs, running, ended))
}
