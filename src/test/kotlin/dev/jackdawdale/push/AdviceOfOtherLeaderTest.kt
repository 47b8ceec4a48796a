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
private val advised = playQueue.copy(advice = AdviceTerms(7.0, 0.1, validMs = 2_000))
private val step = StepSpec(taskCount = 1, perTask = Resources(1_000, 64))

/** A leader that asks for advice on the only step of [jobId]. */
private fun advisedLeader(term: Long, jobId: String) = StagedControlPlay(
    listOf(
        StagedEvent.WorkerReported(playWorker),
        StagedEvent.JobAccepted(
            StagedJobSpec(jobId, advised.name, "payload", listOf(step)),
            advised
        )
    ),
    setOf(hostId)
).apply {
    leads(term)
    passes(3)
}

class AdviceOfOtherLeaderTest :
    FunSpec({
        test("an answer to an earlier leader's question is taken for another step's") {
            val earlier = advisedLeader(term = 1, "0000000000000001")
            val later = advisedLeader(term = 2, "0000000000000002")
            val callId = earlier.adviceCalls.single().callId
            later.submit { pass ->
                val given = AdviceResult.Given(mapOf(playWorker.workerId to "ticket"))
                extension.adviceAnswered(pass, hostId, callId, given)
            }
            later.passes(3)
            later.starts.shouldBeEmpty()
        }
    })
