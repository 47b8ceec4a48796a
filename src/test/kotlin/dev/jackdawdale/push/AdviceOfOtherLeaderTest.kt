package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

private val hostId = HostId("h1")
private val advised = testQueue.copy(advice = AdviceTerms(7.0, 0.1, validMs = 2_000))
private val step = StepSpec(taskCount = 1, perTask = Resources(1_000, 64))

/** A leader that has requested advice about the only step of [jobId]. */
private fun advisedLeader(term: Long, jobId: String) = StagedControlFixture(
    listOf(
        StagedEvent.WorkerRegistered(testWorker),
        StagedEvent.JobAccepted(
            StagedJobSpec(jobId, advised.name, "payload", listOf(step)),
            advised
        )
    ),
    setOf(hostId)
).apply {
    becomeLeader(term)
    runPasses(3)
}

class AdviceOfOtherLeaderTest :
    FunSpec({
        test("the answer to an earlier leader's call is used for another step") {
            val earlier = advisedLeader(term = 1, "0000000000000001")
            val later = advisedLeader(term = 2, "0000000000000002")
            val callId = earlier.adviceCalls.single().callId
            later.submit { pass ->
                val given = AdviceResult.Given(mapOf(testWorker.workerId to "ticket"))
                extension.adviceAnswered(pass, hostId, callId, given)
            }
            later.runPasses(3)
            later.starts.shouldBeEmpty()
        }
    })
