package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.JobProgress
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedReply
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val queue = testQueue.copy(stretch = 3.0, maxAttempts = 10)

/** A leader with one worker, whose runs end as the test says. */
private class OneWorker {
    var end: ListedEnd? = null
    private val listed = ArrayList<EndedRun>()
    val cell = StagedControlFixture(
        listOf(
            StagedEvent.Configured(QueueConfiguration(1, "", listOf(queue))),
            StagedEvent.WorkerRegistered(testWorker)
        ),
        report = { _, nowMs -> report(nowMs) }
    )

    init {
        cell.becomeLeader(term = 2)
    }

    private fun report(nowMs: Long): ReportResult {
        val running = cell.starts.filter { order ->
            listed.none { it.taskId == order.taskId && it.run == order.run }
        }
        val how = end ?: return ReportResult.Reported(
            RunReport(
                1,
                nowMs,
                running.map {
                    ListedRun(it.taskId, it.run, "", 1)
                },
                listed.toList()
            )
        )
        running.forEach { listed += EndedRun(listed.size + 1L, it.taskId, it.run, how, "") }
        return ReportResult.Reported(RunReport(1, nowMs, emptyList(), listed.toList()))
    }

    fun runPasses(count: Int) = repeat(count) {
        cell.runPasses(1)
        cell.startResults.forEach { it(StartResult.Started()) }
        cell.startResults.clear()
    }

    fun handle(command: StagedCommand): StagedReply {
        var answer: StagedReply? = null
        cell.submit { pass -> extension.handle(pass, command) { answer = it } }
        runPasses(1)
        return checkNotNull(answer)
    }

    fun submit(jobId: String, step: StepSpec): StagedReply =
        handle(StagedCommand.Submit("host", "/plans/$jobId", "payload", listOf(step)))
}

class OverloadedLeaderTest :
    FunSpec({
        test("a leader accepts jobs that can't be useful, or goes on refusing after a cancel") {
            val whole = StepSpec(1, Resources(64_000, 64), estimatedMs = 1_000)
            val worker = OneWorker()
            worker.runPasses(5)
            worker.submit("first", StepSpec(30, Resources(1_000, 64), estimatedMs = 20))
            worker.end = ListedEnd.DONE
            worker.runPasses(200)
            worker.end = null
            worker.submit("running", whole)
            worker.submit("late", whole)
            worker.runPasses(120)
            val replies = List(60) { it to worker.submit("more$it", whole) }
            val refused = replies.filter { it.second is StagedReply.Overloaded }.map { it.first }
            (refused.size in 1..59) shouldBe true
            worker.submit("more0", whole) shouldBe StagedReply.Job("more0", JobProgress.QUEUED)
            worker.submit("again", whole).shouldBeInstanceOf<StagedReply.Overloaded>()
            (0 until 60).filter { it !in refused }.forEach {
                worker.handle(StagedCommand.Cancel("host", "/plans/more$it"))
            }
            worker.submit("again", whole) shouldBe StagedReply.Job("again", JobProgress.QUEUED)
        }

        test("a step whose runs all fail takes all room again and again") {
            val worker = OneWorker()
            worker.runPasses(5)
            worker.submit("bad", StepSpec(40, Resources(10_000, 64), estimatedMs = 60_000))
            worker.runPasses(3)
            val before = worker.cell.starts.size
            worker.end = ListedEnd.FAILED
            worker.runPasses(1)
            worker.end = null
            worker.runPasses(50)
            before shouldBe 6
            worker.cell.starts.size - before shouldBe 2
        }
    })
