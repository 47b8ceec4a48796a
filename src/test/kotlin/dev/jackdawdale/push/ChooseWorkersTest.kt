package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private fun step(cpuMillis: Long, count: Int = 1) =
    StepSpec(count, Resources(cpuMillis, memoryMib = 1_000))

private fun room(
    id: String,
    freeCpuMillis: Long,
    rack: String = "r1",
    suspect: Boolean = false,
    ofStep: Int = 0,
    ticketed: Boolean = true
) = WorkerRoom(
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
    val rooms: List<WorkerRoom>,
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
        context("tasks get workers that hold them") {
            withData(
                nameFn = { it.name },
                ChoiceCase(
                    "a small task leaves the empty worker to large ones",
                    step(4_000),
                    tasks(1),
                    listOf(room("empty", 64_000), room("busy", 5_000)),
                    mapOf(0 to "busy")
                ),
                ChoiceCase(
                    "no worker is filled past its capacity",
                    step(4_000),
                    tasks(3),
                    listOf(room("w1", 9_000)),
                    mapOf(0 to "w1", 1 to "w1")
                ),
                ChoiceCase(
                    "a gang without room for all starts none",
                    step(4_000).copy(gang = true),
                    tasks(3),
                    listOf(room("w1", 9_000)),
                    emptyMap()
                ),
                ChoiceCase(
                    "a gang keeps to one rack that holds it",
                    step(4_000).copy(gang = true, oneRack = true),
                    tasks(2),
                    listOf(
                        room("w1", 5_000, "r1"),
                        room("w2", 6_000, "r2"),
                        room("w3", 7_000, "r2")
                    ),
                    mapOf(0 to "w2", 1 to "w3")
                ),
                ChoiceCase(
                    "the limit of tasks on one worker counts those that run",
                    step(4_000).copy(maxPerWorker = 2),
                    tasks(3),
                    listOf(room("w1", 64_000, ofStep = 1)),
                    mapOf(0 to "w1")
                ),
                ChoiceCase(
                    "a worker without the label gets nothing",
                    step(4_000).copy(requiredLabel = "b"),
                    tasks(1),
                    listOf(room("w1", 64_000)),
                    emptyMap()
                ),
                ChoiceCase(
                    "a worker that fails its runs is used last",
                    step(4_000),
                    tasks(1),
                    listOf(room("bad", 5_000, suspect = true), room("good", 64_000)),
                    mapOf(0 to "good")
                ),
                ChoiceCase(
                    "a suspect worker is better than none",
                    step(4_000),
                    tasks(1),
                    listOf(room("bad", 5_000, suspect = true)),
                    mapOf(0 to "bad")
                ),
                ChoiceCase(
                    "a retry leaves the worker on which the task failed",
                    step(4_000),
                    tasks(1, failedOn = listOf("w1")),
                    listOf(room("w1", 5_000), room("w2", 64_000)),
                    mapOf(0 to "w2")
                ),
                ChoiceCase(
                    "a worker with a ticket goes before one that needs further advice",
                    step(4_000),
                    tasks(1),
                    listOf(room("w1", 5_000, ticketed = false), room("w2", 64_000)),
                    mapOf(0 to "w2")
                ),
                ChoiceCase(
                    "work goes to the rack of its data",
                    step(4_000).copy(dataRack = "r2"),
                    tasks(1),
                    listOf(room("w1", 5_000, "r1"), room("w2", 64_000, "r2")),
                    mapOf(0 to "w2")
                )
            ) { case ->
                chooseWorkers(case.step, case.tasks, case.rooms) shouldBe case.chosen
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
                    "a long call is about room that is gone when its answer comes",
                    isLong = true,
                    tasks = 2,
                    asked = (30 downTo 15).map { "w$it" }
                ),
                AskCase(
                    "a wide step is asked about too few workers",
                    isLong = true,
                    tasks = 30,
                    asked = (30 downTo 6).map { "w$it" }
                ),
                AskCase(
                    "workers without room are asked about before those with room",
                    isLong = true,
                    tasks = 500,
                    asked = (30 downTo 1).map { "w$it" } + "full" + "suspect"
                )
            ) { case ->
                val rooms = (1..30).map { room("w$it", it * 4_000L) } +
                    room("suspect", 64_000, suspect = true) +
                    room("full", 3_000)
                chooseAsked(step(4_000), case.tasks, rooms, 0.1, case.isLong, seed = 1)
                    .map { it.workerId } shouldBe case.asked
            }
        }
    })
