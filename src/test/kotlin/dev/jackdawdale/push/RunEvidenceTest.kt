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
    },
    Evidence("another process that answers at the address") {
        answer = { ReportResult.OtherBoot }
    },
    Evidence("a report of a later process under the same id") {
        answer = { listed(it, boot = 2) }
    },
    Evidence("a later process under the same id, at another address") {
        answer = silence
        register(testWorker.copy(boot = 2, address = "127.0.0.1:3"))
    },
    Evidence("a later process under the same id, and a new leader") {
        answer = silence
        register(testWorker.copy(boot = 2, address = "127.0.0.1:3"))
        cell.runPasses(2)
        cell.loseLeadership()
        cell.becomeLeader(term = 2)
    },
    Evidence("another id at the same address, where the process answers for itself") {
        register(testWorker.copy(workerId = "w3", boot = 2))
    },
    Evidence("another id at the same address") {
        answer = { ReportResult.OtherBoot }
        register(testWorker.copy(workerId = "w3", boot = 2))
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

        test(
            "an order for an earlier process runs on under the later one, and a second run beside it"
        ) {
            val task = RunningTask()
            // The later process got the repeated order, and has no lease to end it.
            task.answer = { task.listed(it, boot = 2) }
            task.register(testWorker.copy(boot = 2))
            task.runFor(seconds = 6.0)
            task.stops.toSet() shouldBe setOf(1)
            task.cell.startedOn shouldBe listOf("w1")
            task.stopAnswer = StopResult.ACCEPTED
            task.answer = { task.listed(it, boot = 2, running = false) }
            task.runFor(seconds = 1.0)
            task.cell.starts.map { it.run } shouldBe listOf(1, 2)
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
