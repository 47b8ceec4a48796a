package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.Schedule
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.isValidJobId
import dev.jackdawdale.staged.problemOf
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private val step = StepSpec(taskCount = 1, perTask = Resources(1_000, 64), estimatedMs = 100)

/** Each step waits for all earlier ones, so that the chains are as many as their subsets. */
private fun everyStepAfterAll(steps: Int) =
    List(steps) { number -> step.copy(after = (0 until number).toList()) }

private class OddJob(val name: String, val steps: List<StepSpec>, val schedule: Schedule? = null)

private val oddJobs = listOf(
    OddJob("no steps", emptyList()),
    OddJob("a negative number of tasks", listOf(step.copy(taskCount = -3))),
    OddJob("so many tasks that the leader runs out of memory", listOf(step.copy(2_000_000_000))),
    OddJob("many tasks in two steps", List(2) { step.copy(taskCount = 6_000) }),
    OddJob("a step after itself", listOf(step.copy(after = listOf(0)))),
    OddJob("negative processors, which add room", listOf(step.copy(perTask = Resources(-1_000)))),
    OddJob("negative memory", listOf(step.copy(perTask = Resources(1, -1)))),
    OddJob("room whose sum overflows", listOf(step.copy(perTask = Resources(Long.MAX_VALUE)))),
    OddJob("steps without end", List(300) { step }),
    OddJob("occurrences without end", listOf(step), Schedule(0, 1, Int.MAX_VALUE))
)

private val agent = testWorker.copy(service = "metrics-agent")

/** Entries of another system that describe the process of the worker. */
private val otherServices = listOf(
    "under another id" to WorkerRegistration(agent.copy(workerId = "agent", boot = 2), 1),
    "under the same id" to WorkerRegistration(agent, sequence = 2),
    "under the same id, with a later start" to WorkerRegistration(agent.copy(boot = 2), 1)
)

class OddInputsTest :
    FunSpec({
        context("a job that harms the leader is accepted") {
            withData(nameFn = { it.name }, oddJobs) { job ->
                problemOf(job.steps, job.schedule) shouldNotBe null
            }
        }

        context("a job id makes the names of its tasks ambiguous") {
            withData(nameFn = { "\"$it\"" }, "", "a.0", "a/b", "a b", "\n", "x".repeat(129)) { id ->
                isValidJobId(id) shouldBe false
            }
        }

        test("the chains of a job with many dependencies are counted one by one") {
            val steps = everyStepAfterAll(200)
            problemOf(steps, null) shouldBe null
            val spec = StagedJobSpec(TEST_JOB, testQueue.name, "", steps)
            StagedJob(spec, testQueue, acceptedAtMs = 0).objectiveMs() shouldBe 200 * 100
        }

        context("an entry of a service that isn't configured makes a sound worker unusable") {
            withData(nameFn = { it.first }, otherServices) { (_, entry) ->
                val queues = listOf(testQueue)
                val configuration = QueueConfiguration(1, "", queues, listOf(testQueue.service))
                val cell = StagedControlFixture(listOf(StagedEvent.Configured(configuration)))
                cell.becomeLeader(term = 1)
                cell.submit { pass ->
                    workerRegistered(pass, WorkerRegistration(testWorker, sequence = 1)) {}
                }
                cell.runPasses(2)
                cell.submit { pass -> workerRegistered(pass, entry) {} }
                val path = testQueue.pathPrefix + TEST_JOB
                cell.submit { pass ->
                    val submit = StagedCommand.Submit("host", path, "", listOf(step))
                    extension.handle(pass, submit) {}
                }
                cell.runPasses(5)
                cell.startedOn shouldBe listOf(testWorker.workerId)
            }
        }

        test("a registration that claims a later start ends the runs of a sound worker") {
            val job = acceptedJob(step)
            val cell = StagedControlFixture(listOf(job))
            cell.becomeLeader(term = 1)
            val sound = WorkerRegistration(testWorker, sequence = 1)
            val odd = WorkerRegistration(testWorker.copy(boot = (1L shl 53) - 1), sequence = 1)
            for (registration in listOf(sound, odd, sound.copy(sequence = 2))) {
                cell.submit { pass -> workerRegistered(pass, registration) {} }
                cell.runPasses(2)
            }
            cell.runPasses(5)
            cell.starts shouldHaveSize 1
        }
    })
