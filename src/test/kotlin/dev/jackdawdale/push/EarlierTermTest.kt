package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EarlierTermTest :
    FunSpec({
        test("the result of an order of an earlier term blocks the worker's capacity forever") {
            val wide = StepSpec(
                taskCount = 1,
                perTask = Resources(testWorker.cpuMillis, testWorker.memoryMib)
            )
            val control = StagedControlFixture(
                listOf(StagedEvent.WorkerRegistered(testWorker), acceptedJob(wide))
            )
            control.becomeLeader(term = 1)
            control.runPasses(3)
            control.starts.map { it.run } shouldBe listOf(1)
            control.loseLeadership()
            control.becomeLeader(term = 2)
            control.startResults.single()(StartResult.Refused(StartRefusal.NO_ROOM))
            control.runPasses(20)
            control.starts.map { it.run } shouldBe listOf(1, 2)
        }
    })
