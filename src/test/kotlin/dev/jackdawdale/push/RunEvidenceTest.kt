package dev.jackdawdale.push

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private class Evidence(val guardsAgainst: String, val happens: RunningTask.() -> Unit)

private val silence: (Long) -> ReportResult = { ReportResult.Failed("no answer") }

private val inconclusive = listOf(
    Evidence("a failed call") { answer = silence },
    Evidence("a failed call after a leave notice") {
        leave()
        answer = silence
    }
)

class RunEvidenceTest :
    FunSpec({
        context("a task starts elsewhere while the process that runs it holds its lease, after") {
            withData(nameFn = { it.guardsAgainst }, inconclusive) { case ->
                val task = RunningTask()
                case.happens(task)
                task.runFor(seconds = 5.0)
                task.cell.startedOn shouldBe listOf("w1")
            }
        }

        test("a task waits for a process that has ended, after its lease has lapsed") {
            val task = RunningTask()
            task.answer = silence
            task.runFor(seconds = 6.0)
            task.cell.startedOn shouldBe listOf("w1", "w2")
        }

        test("a task waits for the lease although its process has listed the end of the run") {
            val task = RunningTask()
            task.answer = task::ended
            task.runFor(seconds = 0.2)
            task.cell.starts.map { it.run } shouldBe listOf(1, 2)
        }
    })
