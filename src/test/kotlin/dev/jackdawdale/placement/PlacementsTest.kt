package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleJob
import dev.jackdawdale.model.sampleWorker
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private val quarterOfWorker = Resources(1_000, 2_048, 0)
private val wholeWorker = Resources(4_000, 8_192, 0)

private fun worker(
    id: String,
    accelerators: Long = 0,
    rack: String = "r1",
    domain: String = "kochi"
) = Event.WorkerJoined(
    sampleWorker(id, 1, Resources(4_000, 8_192, accelerators), rack, domain)
)

private fun contract(ceiling: Resources = Resources(64_000, 65_536, 8), maxTasks: Int = 100) =
    Event.ContractChanged(
        ChangeId("c-acme"),
        sampleContract("acme", ceiling = ceiling).copy(maxRunningTasks = maxTasks)
    )

private fun job(
    id: String,
    kind: JobKind = JobKind.BATCH,
    count: Int = 1,
    need: Resources = quarterOfWorker,
    urgency: Urgency = Urgency.NORMAL
) = Event.JobAccepted(sampleJob("acme", id, kind, count, need).copy(urgency = urgency), 1)

private fun stateOf(events: List<Event>): CellState = CellState().apply(EventBatch(0, events)).state

private fun placeAll(state: CellState): List<Event> =
    place(state, placementState(state, 0), 0, 100).events

private fun workersOf(state: CellState): Map<String, Int> =
    placeAll(state).filterIsInstance<Event.TaskPlaced>()
        .groupingBy { it.workerId.value }.eachCount()

private class PlaceCase(
    val name: String,
    val events: List<Event>,
    val placedByWorker: Map<String, Int>
)

class PlacementsTest :
    FunSpec({
        withData(
            nameFn = { it.name },
            PlaceCase(
                "a worker gets more processors than it has",
                listOf(contract(), worker("w1"), job("j", count = 10)),
                mapOf("w1" to 4)
            ),
            PlaceCase(
                "a worker gets more memory than it has while processors are free",
                listOf(contract(), worker("w1"), job("j", count = 3, need = Resources(10, 4_096))),
                mapOf("w1" to 2)
            ),
            PlaceCase(
                "a worker gets more accelerators than it has",
                listOf(
                    contract(),
                    worker("w1", accelerators = 1),
                    job("j", count = 2, need = Resources(10, 10, 1))
                ),
                mapOf("w1" to 1)
            ),
            PlaceCase(
                "a customer's tasks together exceed its ceiling",
                listOf(
                    contract(ceiling = Resources(2_000, 65_536, 0)),
                    worker("w1"),
                    job("j", count = 4)
                ),
                mapOf("w1" to 2)
            ),
            PlaceCase(
                "a customer runs more tasks than its contract allows",
                listOf(contract(maxTasks = 1), worker("w1"), job("j", count = 4)),
                mapOf("w1" to 1)
            ),
            PlaceCase(
                "a gang starts with only some of its tasks",
                listOf(
                    contract(),
                    worker("w1"),
                    job("g", kind = JobKind.GANG, count = 2, need = wholeWorker)
                ),
                emptyMap()
            ),
            PlaceCase(
                "a gang that fits is not placed",
                listOf(
                    contract(),
                    worker("w1"),
                    worker("w2"),
                    job("g", kind = JobKind.GANG, count = 2, need = wholeWorker)
                ),
                mapOf("w1" to 1, "w2" to 1)
            ),
            PlaceCase(
                "tasks of a service share one failure domain",
                listOf(
                    contract(),
                    worker("w1"),
                    worker("w2", domain = "thrissur"),
                    worker("w3", domain = "kollam"),
                    job("s", kind = JobKind.SERVICE, count = 3)
                ),
                mapOf("w1" to 1, "w2" to 1, "w3" to 1)
            ),
            PlaceCase(
                "tasks of a service share one rack",
                listOf(
                    contract(),
                    worker("w1"),
                    worker("w2", rack = "r2"),
                    job("s", kind = JobKind.SERVICE, count = 2)
                ),
                mapOf("w1" to 1, "w2" to 1)
            ),
            PlaceCase(
                "work without accelerators takes an accelerator worker while others are free",
                listOf(
                    contract(),
                    worker("w1", accelerators = 2),
                    worker("w2"),
                    job("j", count = 4)
                ),
                mapOf("w2" to 4)
            ),
            PlaceCase(
                "a draining worker gets new tasks",
                listOf(
                    contract(),
                    worker("w1"),
                    Event.WorkerPhaseChanged(WorkerId("w1"), 1, WorkerPhase.DRAINING),
                    job("j")
                ),
                emptyMap()
            )
        ) { case ->
            workersOf(stateOf(case.events)) shouldBe case.placedByWorker
        }

        context("preemption") {
            val taskId = TaskId("acme/low#0")
            val urgent = job("high", need = wholeWorker, urgency = Urgency.URGENT)

            fun cellWithRunningTask(preemptions: Int): CellState {
                val start = stateOf(
                    listOf(contract(), worker("w1"), job("low", need = wholeWorker))
                )
                return (0..preemptions).fold(start) { state, round ->
                    val placed = placeAll(state).filterIsInstance<Event.TaskPlaced>().single()
                    val running = state.apply(placed, 0)
                        .apply(Event.TaskStarted(taskId, placed.token), 0)
                    if (round == preemptions) return@fold running
                    val stop =
                        Event.TaskStopRequested(taskId, placed.token, StopReason.PREEMPTED)
                    val end = Event.TaskEnded(taskId, placed.token, TaskResult.CHECKPOINTED)
                    running.apply(stop, 0).apply(end, 0)
                }
            }

            test("urgent work waits instead of preempting normal work") {
                val state = cellWithRunningTask(preemptions = 0).apply(urgent, 0)
                placeAll(state).filterIsInstance<Event.TaskStopRequested>()
                    .map { it.taskId to it.reason } shouldBe
                    listOf(taskId to StopReason.PREEMPTED)
            }

            test("a task is preempted a fourth time") {
                val state = cellWithRunningTask(preemptions = 3).apply(urgent, 0)
                placeAll(state).shouldBeEmpty()
            }
        }
    })
