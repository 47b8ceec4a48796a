package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize

private val job = acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))

/** A leader whose worker has sent a leave notice and then registered again. */
private fun afterLeave(draining: Boolean) = StagedControlFixture(listOf(job)).apply {
    becomeLeader(term = 1)
    submit { pass -> workerRegistered(pass, WorkerRegistration(testWorker, sequence = 1)) {} }
    submit { pass -> workerLeaves(pass, testWorker.workerId) {} }
    submit { pass ->
        val worker = testWorker.copy(draining = draining)
        workerRegistered(pass, WorkerRegistration(worker, sequence = 2)) {}
    }
    runPasses(5)
}

class LateLeaveTest :
    FunSpec({
        test("a late leave notice of an earlier process makes a ready worker unusable") {
            afterLeave(draining = false).starts shouldHaveSize 1
        }

        test("a worker that drains after its leave notice gets a task") {
            afterLeave(draining = true).starts.shouldBeEmpty()
        }
    })
