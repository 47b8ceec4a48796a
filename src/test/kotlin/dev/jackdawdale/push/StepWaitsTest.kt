package dev.jackdawdale.push

import dev.jackdawdale.staged.StepId
import dev.jackdawdale.testing.CapturedLog
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private const val STEPS = 3 * LONGEST_WAITING
private val noRoom = WaitFacts(waiting = 2, tasks = 2, gang = true, usable = 5, allowed = 5)

private fun stepId(number: Int) = StepId("j%03d".format(number), 0, 0)

private class Recorded {
    private val log = CapturedLog()
    val waits = StepWaits(log.logger)
    val lines: List<String> get() = log.lines

    /** Reports all steps as waiting; the one with the highest number has waited longest. */
    fun reportAll(nowMs: Long) {
        repeat(STEPS) { waits.record(stepId(it), noRoom) { 1 } }
        waits.report(nowMs) { AdviceFacts() }
    }

    fun begin() = repeat(STEPS) {
        waits.waiting(stepId(it).jobId, listOf(stepId(it)), 1_000L - it)
    }
}

class StepWaitsTest :
    FunSpec({
        test("the longest waits are missing when more steps wait than there are lines") {
            val recorded = Recorded()
            recorded.begin()
            recorded.reportAll(2_000)
            recorded.lines shouldHaveSize LONGEST_WAITING
            val jobs = (STEPS - LONGEST_WAITING until STEPS).map { stepId(it).jobId }
            jobs.forEach { job -> recorded.lines.count { job in it } shouldBe 1 }
            recorded.lines.first() shouldContain "waits ${1_000 + STEPS - 1} ms"
        }

        test("a second report is due within a second") {
            val recorded = Recorded()
            recorded.begin()
            recorded.waits.isDue(2_000) shouldBe true
            recorded.reportAll(2_000)
            recorded.waits.isDue(2_999) shouldBe false
            recorded.waits.isDue(3_000) shouldBe true
        }

        test("the rate limit drops lines of later reports") {
            val recorded = Recorded()
            recorded.begin()
            repeat(5) { recorded.reportAll(2_000L + it * 1_000) }
            recorded.lines shouldHaveSize 5 * LONGEST_WAITING
        }

        test("a step that was placed in the pass is reported as waiting") {
            val recorded = Recorded()
            recorded.begin()
            repeat(STEPS) { recorded.waits.waiting(stepId(it).jobId, emptyList(), 1_500) }
            recorded.reportAll(2_000)
            recorded.lines shouldHaveSize 0
            recorded.waits.byReason shouldBe emptyMap()
        }

        test("a waiting step loses its start time when other steps of its job change") {
            val recorded = Recorded()
            recorded.waits.waiting("j000", listOf(stepId(0)), 1_000)
            recorded.waits.waiting("j000", listOf(stepId(0), StepId("j000", 0, 1)), 1_700)
            recorded.waits.record(stepId(0), noRoom) { 1 }
            recorded.waits.report(2_000) { AdviceFacts() }
            recorded.lines.single() shouldContain "step 0 waits 1000 ms"
        }

        test("a step that waits again keeps its old start time") {
            val recorded = Recorded()
            recorded.waits.waiting("j000", listOf(stepId(0)), 1_000)
            recorded.waits.waiting("j000", emptyList(), 1_200)
            recorded.waits.waiting("j000", listOf(stepId(0)), 1_900)
            recorded.waits.record(stepId(0), noRoom) { 1 }
            recorded.waits.report(2_000) { AdviceFacts() }
            recorded.lines.single() shouldContain "step 0 waits 100 ms"
        }

        test("a step that waits in an idle cell looks like one that waits in a full one") {
            val recorded = Recorded()
            recorded.waits.waiting("j000", listOf(stepId(0)), 1_000)
            recorded.waits.record(stepId(0), noRoom.copy(idleMs = 700)) { 1 }
            recorded.waits.report(2_000) { AdviceFacts() }
            recorded.lines.single() shouldContain "2 of 2 tasks, gang, no run for 700 ms: no room"
        }

        test("the counts by reason omit steps without a line") {
            val recorded = Recorded()
            recorded.begin()
            recorded.reportAll(2_000)
            recorded.waits.byReason shouldBe mapOf(WaitReason.NO_ROOM to STEPS)
        }
    })
