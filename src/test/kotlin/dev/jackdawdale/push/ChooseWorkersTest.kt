package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private fun step(cpuMillis: Long, count: Int = 1) =
    StepSpec(count, Resources(cpuMillis, memoryMib = 1_000))

private fun worker(
    id: String,
    freeCpuMillis: Long,
    rack: String = "r1",
    suspect: Boolean = false,
    ofStep: Int = 0,
    ticketed: Boolean = true
) = AvailableWorker(
    id,
    rack,
    listOf("a", rack),
    Resources(freeCpuMillis, memoryMib = 64_000),
    suspect,
    ofStep,
    ticketed
)

private fun tasks(count: Int, failedOn: List<String> = emptyList()) =
    List(count) { WaitingTask(it, failedOn) }

private class ChoiceCase(
    val name: String,
    val step: StepSpec,
    val tasks: List<WaitingTask>,
    val workers: List<AvailableWorker>,
    val chosen: Map<Int, String>
)

private class AskCase(
    val name: String,
    val isLong: Boolean,
    val tasks: Int,
    val asked: List<String>
)

class ChooseWorkersTest :
    FunSpec({
        context("each task gets a suitable worker") {
            withData(
                nameFn = { it.name },
                ChoiceCase(
                    "a small task takes an empty worker from large ones",
                    step(4_000),
                    tasks(1),
                    listOf(worker("empty", 64_000), worker("busy", 5_000)),
                    mapOf(0 to "busy")
                ),
                ChoiceCase(
                    "a worker gets more tasks than its capacity allows",
                    step(4_000),
                    tasks(3),
                    listOf(worker("w1", 9_000)),
                    mapOf(0 to "w1", 1 to "w1")
                ),
                ChoiceCase(
                    "a gang that doesn't fit starts in part",
                    step(4_000).copy(gang = true),
                    tasks(3),
                    listOf(worker("w1", 9_000)),
                    emptyMap()
                ),
                ChoiceCase(
                    "a gang is spread over racks although it fits in one",
                    step(4_000).copy(gang = true, oneRack = true),
                    tasks(2),
                    listOf(
                        worker("w1", 5_000, "r1"),
                        worker("w2", 6_000, "r2"),
                        worker("w3", 7_000, "r2")
                    ),
                    mapOf(0 to "w2", 1 to "w3")
                ),
                ChoiceCase(
                    "running tasks don't count towards the limit per worker",
                    step(4_000).copy(maxPerWorker = 2),
                    tasks(3),
                    listOf(worker("w1", 64_000, ofStep = 1)),
                    mapOf(0 to "w1")
                ),
                ChoiceCase(
                    "a worker without the required label gets a task",
                    step(4_000).copy(requiredLabel = "b"),
                    tasks(1),
                    listOf(worker("w1", 64_000)),
                    emptyMap()
                ),
                ChoiceCase(
                    "a suspect worker is used before others",
                    step(4_000),
                    tasks(1),
                    listOf(worker("bad", 5_000, suspect = true), worker("good", 64_000)),
                    mapOf(0 to "good")
                ),
                ChoiceCase(
                    "a suspect worker is not used although there is no other",
                    step(4_000),
                    tasks(1),
                    listOf(worker("bad", 5_000, suspect = true)),
                    mapOf(0 to "bad")
                ),
                ChoiceCase(
                    "a retry goes to the worker on which the task failed",
                    step(4_000),
                    tasks(1, failedOn = listOf("w1")),
                    listOf(worker("w1", 5_000), worker("w2", 64_000)),
                    mapOf(0 to "w2")
                ),
                ChoiceCase(
                    "a worker that needs further advice is used before one with a ticket",
                    step(4_000),
                    tasks(1),
                    listOf(worker("w1", 5_000, ticketed = false), worker("w2", 64_000)),
                    mapOf(0 to "w2")
                ),
                ChoiceCase(
                    "a task is placed away from the rack of its data",
                    step(4_000).copy(dataRack = "r2"),
                    tasks(1),
                    listOf(worker("w1", 5_000, "r1"), worker("w2", 64_000, "r2")),
                    mapOf(0 to "w2")
                )
            ) { case ->
                chooseWorkers(case.step, case.tasks, case.workers) shouldBe case.chosen
            }
        }

        context("the adviser is asked about workers that can take the tasks") {
            withData(
                nameFn = { it.name },
                AskCase(
                    "a short call takes empty workers from large tasks",
                    isLong = false,
                    tasks = 2,
                    asked = (1..16).map { "w$it" }
                ),
                AskCase(
                    "a long call asks about workers that are full when its answer arrives",
                    isLong = true,
                    tasks = 2,
                    asked = (30 downTo 15).map { "w$it" }
                ),
                AskCase(
                    "a call for a wide step asks about too few workers",
                    isLong = true,
                    tasks = 30,
                    asked = (30 downTo 6).map { "w$it" }
                ),
                AskCase(
                    "workers without capacity are asked about before those with capacity",
                    isLong = true,
                    tasks = 500,
                    asked = (30 downTo 1).map { "w$it" } + "full" + "suspect"
                )
            ) { case ->
                val workers = (1..30).map { worker("w$it", it * 4_000L) } +
                    worker("suspect", 64_000, suspect = true) +
                    worker("full", 3_000)
                chooseWorkersToAsk(step(4_000), case.tasks, workers, 0.1, case.isLong, seed = 1)
                    .map { it.workerId } shouldBe case.asked
            }
        }
    })
