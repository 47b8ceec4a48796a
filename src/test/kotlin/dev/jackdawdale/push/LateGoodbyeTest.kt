package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize

private val job = acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))

/** A leader of a worker that said goodbye and then reported itself. */
private fun afterGoodbye(draining: Boolean) = StagedControlPlay(listOf(job)).apply {
    leads(term = 1)
    submit { pass -> workerReported(pass, WorkerReport(playWorker, sequence = 1)) {} }
    submit { pass -> workerLeaves(pass, playWorker.workerId) {} }
    submit { pass ->
        val worker = playWorker.copy(draining = draining)
        workerReported(pass, WorkerReport(worker, sequence = 2)) {}
    }
    passes(5)
}

class LateGoodbyeTest :
    FunSpec({
        test("a late goodbye of an earlier process takes a ready worker out for good") {
            afterGoodbye(draining = false).starts shouldHaveSize 1
        }

        test("a worker that drains after its goodbye gets a task") {
            afterGoodbye(draining = true).starts.shouldBeEmpty()
        }
    })
