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

private val job = acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))

/** A worker whose answer to the first order is [first]; it gives no other. */
private class BegunCase(
    val guardsAgainst: String,
    val first: StartResult?,
    val listed: List<ListedRun> = emptyList(),
    val ended: List<EndedRun> = emptyList(),
    val leaders: Int = 1,
    val progress: JobProgress
)

private val running = listOf(ListedRun(runningTaskId, 1, "", 10))
private val stopped = listOf(EndedRun(1, runningTaskId, 1, ListedEnd.STOPPED, ""))

private val cases = listOf(
    BegunCase(
        "a job whose only order was refused counts as begun",
        StartResult.Refused(StartRefusal.UNHEALTHY),
        progress = JobProgress.QUEUED
    ),
    BegunCase(
        "a job whose order is under way counts as begun",
        first = null,
        progress = JobProgress.QUEUED
    ),
    BegunCase(
        "a job at work counts as pending",
        StartResult.Started(),
        running,
        progress = JobProgress.RUNNING
    ),
    BegunCase(
        "a job that waits for its next run counts as pending",
        StartResult.Started(),
        ended = stopped,
        progress = JobProgress.RUNNING
    ),
    BegunCase(
        "a job at work counts as pending at a new leader",
        StartResult.Started(),
        running,
        leaders = 2,
        progress = JobProgress.RUNNING
    )
)

class PendingJobsTest :
    FunSpec({
        context("pending jobs are those without a run") {
            withData(nameFn = { it.guardsAgainst }, cases) { case ->
                var answered = false
                val configuration = QueueConfiguration(1, "", listOf(testQueue))
                val cell = StagedControlFixture(
                    listOf(
                        StagedEvent.Configured(configuration),
                        StagedEvent.WorkerRegistered(testWorker),
                        job
                    ),
                    report = { worker, nowMs ->
                        val report = if (answered) {
                            RunReport(worker.boot, nowMs, case.listed, case.ended)
                        } else {
                            RunReport(worker.boot, nowMs, emptyList(), emptyList())
                        }
                        ReportResult.Reported(report)
                    }
                )
                cell.becomeLeader(term = 1)
                cell.runPasses(2)
                case.first?.let {
                    answered = true
                    cell.startResults.single()(it)
                }
                cell.runPasses(10)
                if (case.leaders > 1) {
                    cell.loseLeadership()
                    cell.becomeLeader(term = 2)
                    cell.runPasses(2)
                }
                val pending = if (case.progress == JobProgress.QUEUED) 1 else 0
                cell.query(StagedQuery("host", "/plans/")) shouldBe StagedReply.Pending(pending)
                cell.query(StagedQuery("host", "/plans/$TEST_JOB")) shouldBe
                    StagedReply.Job(TEST_JOB, case.progress)
            }
        }
    })
