package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.JobProgress
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedQuery
import dev.jackdawdale.staged.StagedReply
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val PASSES_PER_S = 50

/** Longer than a lease. */
private const val LEASE_S = 6.0
private val job = acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))
private val silence: (Long) -> ReportResult = { ReportResult.Failed("no answer") }

/** A leader whose only worker w1 has been sent one order, and answers none after it. */
private class OneOrder {
    var answer: (nowMs: Long) -> ReportResult = { listed(it) }
    var stopAnswer: StopResult? = null

    /** How the job was shown after each step. */
    val shown = ArrayList<Pair<Int, JobProgress>>()
    val cell = StagedControlFixture(
        listOf(
            StagedEvent.Configured(QueueConfiguration(1, "", listOf(testQueue))),
            StagedEvent.WorkerRegistered(testWorker),
            job
        ),
        report = { _, nowMs -> answer(nowMs) },
        stop = { _, _, _ -> stopAnswer }
    )
    private var term = 1L

    init {
        cell.becomeLeader(term)
        cell.runPasses(2)
    }

    /** Confirms the order. */
    fun confirm() = cell.startResults.single()(StartResult.Started())

    fun laterProcess(boot: Long) = cell.submit { pass ->
        val worker = testWorker.copy(boot = boot)
        workerRegistered(pass, WorkerRegistration(worker, sequence = 1)) {}
    }

    fun newLeader() {
        cell.loseLeadership()
        cell.becomeLeader(++term)
    }

    /** Runs passes, and reads the number of pending jobs and the state of the job after each. */
    fun runFor(seconds: Double) = repeat((seconds * PASSES_PER_S).toInt()) {
        cell.runPasses(1)
        val pending = cell.query(StagedQuery("host", "/plans/")) as StagedReply.Pending
        val reply = cell.query(StagedQuery("host", "/plans/$TEST_JOB")) as StagedReply.Job
        shown += pending.jobs to reply.progress
    }

    fun listed(
        nowMs: Long,
        boot: Long = 1,
        running: Boolean = false,
        ended: ListedEnd? = null
    ): ReportResult {
        val runs = listOf(ListedRun(runningTaskId, 1, "", 10)).filter { running }
        val ends = listOfNotNull(ended).map { EndedRun(1, runningTaskId, 1, it, "") }
        return ReportResult.Reported(RunReport(boot, nowMs, runs, ends))
    }
}

private class PendingCase(
    val guardsAgainst: String,
    val progress: JobProgress,
    val happens: OneOrder.() -> Unit
)

private val withoutAnswer = listOf(
    PendingCase(
        "its worker is followed by a later process",
        JobProgress.QUEUED
    ) {
        answer = { listed(it, boot = 2) }
        stopAnswer = StopResult.ACCEPTED
        laterProcess(boot = 2)
    },
    PendingCase(
        "its worker is followed by a later process, which is cut off",
        JobProgress.QUEUED
    ) {
        answer = { listed(it, boot = 2) }
        stopAnswer = StopResult.ACCEPTED
        laterProcess(boot = 2)
        runFor(seconds = 1.0)
        answer = silence
    },
    PendingCase(
        "its worker is followed by two later processes",
        JobProgress.QUEUED
    ) {
        answer = { listed(it, boot = 2) }
        laterProcess(boot = 2)
        runFor(seconds = 1.0)
        answer = { listed(it, boot = 3) }
        stopAnswer = StopResult.ACCEPTED
        laterProcess(boot = 3)
    },
    PendingCase(
        "its worker is followed by a later process, and the leader by another",
        JobProgress.QUEUED
    ) {
        answer = { listed(it, boot = 2) }
        stopAnswer = StopResult.ACCEPTED
        laterProcess(boot = 2)
        runFor(seconds = 1.0)
        newLeader()
    },
    PendingCase("the lease of its worker has expired", JobProgress.QUEUED) {
        answer = silence
    },
    PendingCase("a new leader inherits it from a silent worker", JobProgress.QUEUED) {
        answer = silence
        newLeader()
    },
    PendingCase("a new leader inherits it, and its worker lists nothing", JobProgress.QUEUED) {
        newLeader()
    }
)

private val started = listOf(
    PendingCase(
        "its worker is followed by a later process",
        JobProgress.RUNNING
    ) {
        answer = { listed(it, boot = 2) }
        stopAnswer = StopResult.ACCEPTED
        laterProcess(boot = 2)
    },
    PendingCase(
        "its worker is followed by a later process, which is cut off",
        JobProgress.RUNNING
    ) {
        answer = silence
        laterProcess(boot = 2)
    },
    PendingCase("the lease of its worker has expired", JobProgress.RUNNING) {
        answer = silence
    },
    PendingCase("a new leader inherits it from a silent worker", JobProgress.RUNNING) {
        answer = silence
        newLeader()
    },
    PendingCase(
        "a new leader inherits it, and its worker is followed by a later process",
        JobProgress.RUNNING
    ) {
        newLeader()
        answer = { listed(it, boot = 2) }
        laterProcess(boot = 2)
    }
)

private val startedLate = listOf(
    PendingCase("lists it as running", JobProgress.RUNNING) {
        answer = { listed(it, boot = 2, running = true) }
    },
    PendingCase("lists its end", JobProgress.RUNNING) {
        stopAnswer = StopResult.ACCEPTED
        answer = { listed(it, boot = 2, ended = ListedEnd.STOPPED) }
    }
)

class PendingAfterRestartTest :
    FunSpec({
        context("a job counts as begun though its order got no answer, after") {
            withData(nameFn = { it.guardsAgainst }, withoutAnswer) { case ->
                val order = OneOrder()
                case.happens(order)
                order.runFor(LEASE_S)
                order.shown.toSet() shouldBe setOf(1 to case.progress)
            }
        }

        context("a job counts as pending though its order was confirmed, after") {
            withData(nameFn = { it.guardsAgainst }, started) { case ->
                val order = OneOrder()
                order.confirm()
                order.answer = { order.listed(it, running = true) }
                order.cell.runPasses(2)
                case.happens(order)
                order.runFor(LEASE_S)
                order.shown.toSet() shouldBe setOf(0 to case.progress)
            }
        }

        context("a job counts as pending though a later process of its worker") {
            withData(nameFn = { it.guardsAgainst }, startedLate) { case ->
                val order = OneOrder()
                order.laterProcess(boot = 2)
                case.happens(order)
                order.cell.runPasses(2)
                order.runFor(LEASE_S)
                order.shown.toSet() shouldBe setOf(0 to case.progress)
            }
        }
    })
