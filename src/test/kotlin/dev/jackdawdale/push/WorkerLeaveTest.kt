package dev.jackdawdale.push

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

/**
 * A worker that sends a leave notice while it runs a task.
 *
 * @property draining whether it reported before that it drains
 * @property listsEnd whether it lists the end of the run once it is stopped
 */
private class LeaveCase(
    val guardsAgainst: String,
    val draining: Boolean,
    val listsEnd: Boolean,
    val stops: Boolean,
    val answeredWithin: Double
)

private val cases = listOf(
    LeaveCase(
        "the run of a worker that leaves is lost, with its checkpoint",
        draining = true,
        listsEnd = true,
        stops = true,
        answeredWithin = 0.1
    ),
    LeaveCase(
        "a worker that can't be reached waits for its answer for over a second",
        draining = true,
        listsEnd = false,
        stops = true,
        answeredWithin = 0.9
    ),
    LeaveCase(
        "a late notice of an earlier process stops the runs of a sound worker",
        draining = false,
        listsEnd = false,
        stops = false,
        answeredWithin = 0.1
    )
)

class WorkerLeaveTest :
    FunSpec({
        context("a leave notice") {
            withData(nameFn = { it.guardsAgainst }, cases) { case ->
                val task = RunningTask()
                task.register(testWorker.copy(draining = case.draining), sequence = 2)
                var answered = false
                var stopsBeforeAnswer = 0
                task.leave {
                    answered = true
                    stopsBeforeAnswer = task.stops.size
                }
                task.cell.runPasses(1)
                if (case.listsEnd) task.answer = task::ended
                task.runFor(case.answeredWithin)
                answered shouldBe true
                (stopsBeforeAnswer > 0) shouldBe case.stops
            }
        }

        test("a worker is told that it may end before the end of its run is listed") {
            val task = RunningTask()
            task.register(testWorker.copy(draining = true), sequence = 2)
            var answered = false
            task.leave { answered = true }
            task.runFor(seconds = 0.4)
            answered shouldBe false
        }
    })
