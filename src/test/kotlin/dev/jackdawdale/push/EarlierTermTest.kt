package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EarlierTermTest :
    FunSpec({
        test("the result of an order of an earlier term takes the worker's room for good") {
            val wide = StepSpec(
                taskCount = 1,
                perTask = Resources(playWorker.cpuMillis, playWorker.memoryMib)
            )
            val play = StagedControlPlay(
                listOf(StagedEvent.WorkerReported(playWorker), acceptedJob(wide))
            )
            play.leads(term = 1)
            play.passes(3)
            play.starts.map { it.run } shouldBe listOf(1)
            play.losesLeadership()
            play.leads(term = 2)
            play.startResults.single()(StartResult.Refused(StartRefusal.NO_ROOM))
            play.passes(20)
            play.starts.map { it.run } shouldBe listOf(1, 2)
        }
    })
