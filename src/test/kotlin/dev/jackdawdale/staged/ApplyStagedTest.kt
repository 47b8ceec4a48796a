package dev.jackdawdale.staged

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.decodeCellState
import dev.jackdawdale.model.encode
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val JOB = "5c0e7a21d94b36f8"
private val queue = QueueSpec("plans", "host", "/plans/", "planning", maxAttempts = 2)
private val single = StepSpec(taskCount = 2, perTask = Resources(1_000, 64))
private val gang = single.copy(gang = true)

private fun accepted(vararg steps: StepSpec) = StagedEvent.JobAccepted(
    StagedJobSpec(JOB, queue.name, "payload", steps.toList()),
    queue
)

private fun placed(run: Int, vararg indexes: Int) = StagedEvent.TasksPlaced(
    StepId(JOB, 0, 0),
    run,
    term = 1,
    placed = indexes.map { PlacedTask(it, "w$it", workerBoot = 1) }
)

private fun ended(index: Int, run: Int, result: RunResult, checkpoint: String = "") =
    StagedEvent.RunEnded(StageTaskId(StepId(JOB, 0, 0), index), run, result, checkpoint)

private fun stateAfter(vararg events: StagedEvent): StagedState =
    events.fold(StagedState()) { state, event -> state.apply(event, atMs = 1_000) }

private val StagedState.outcome: JobOutcome? get() = job(JOB)?.outcome

private val StagedState.tasks: List<StageTask>
    get() = active.getValue(JOB).occurrences[0].steps[0].tasks

private class OutcomeCase(val name: String, val events: List<StagedEvent>, val outcome: JobOutcome?)

private class BegunCase(val name: String, val event: StagedEvent, val hasRun: Boolean)

class ApplyStagedTest :
    FunSpec({
        context("the outcome of a job follows from the ends of its runs") {
            withData(
                nameFn = { it.name },
                OutcomeCase(
                    "one task has not ended",
                    listOf(
                        accepted(single),
                        placed(1, 0, 1),
                        ended(0, 1, RunResult.SUCCEEDED)
                    ),
                    null
                ),
                OutcomeCase(
                    "all tasks have succeeded",
                    listOf(
                        accepted(single),
                        placed(1, 0, 1),
                        ended(0, 1, RunResult.SUCCEEDED),
                        ended(1, 1, RunResult.SUCCEEDED)
                    ),
                    JobOutcome.COMPLETED
                ),
                OutcomeCase(
                    "the success of one member completes the gang",
                    listOf(accepted(gang), placed(1, 0, 1), ended(1, 1, RunResult.SUCCEEDED)),
                    JobOutcome.COMPLETED
                ),
                OutcomeCase(
                    "two members that fail in the same run count as one failed attempt",
                    listOf(
                        accepted(gang),
                        placed(1, 0, 1),
                        ended(0, 1, RunResult.FAILED),
                        ended(1, 1, RunResult.FAILED)
                    ),
                    null
                ),
                OutcomeCase(
                    "a task fails in its last attempt",
                    listOf(
                        accepted(single),
                        placed(1, 0),
                        ended(0, 1, RunResult.FAILED),
                        placed(2, 0),
                        ended(0, 2, RunResult.FAILED)
                    ),
                    JobOutcome.FAILED
                ),
                OutcomeCase(
                    "interrupted runs don't count as failed attempts",
                    listOf(
                        accepted(single),
                        placed(1, 0),
                        ended(0, 1, RunResult.INTERRUPTED),
                        placed(2, 0),
                        ended(0, 2, RunResult.INTERRUPTED)
                    ),
                    null
                ),
                OutcomeCase(
                    "a cancelled job stays cancelled when a late end arrives",
                    listOf(
                        accepted(single.copy(taskCount = 1)),
                        placed(1, 0),
                        StagedEvent.JobCancelled(JOB),
                        ended(0, 1, RunResult.SUCCEEDED)
                    ),
                    JobOutcome.CANCELLED
                ),
                OutcomeCase(
                    "a job that arrives after its cancellation never runs",
                    listOf(StagedEvent.JobCancelled(JOB), accepted(single)),
                    JobOutcome.CANCELLED
                )
            ) { case ->
                stateAfter(*case.events.toTypedArray()).outcome shouldBe case.outcome
            }
        }

        context("only what shows that a run has started begins a job") {
            withData(
                nameFn = { it.name },
                BegunCase("the start of a run", StagedEvent.JobBegun(JOB), true),
                BegunCase("a success", ended(0, 1, RunResult.SUCCEEDED), true),
                BegunCase("a failure", ended(0, 1, RunResult.FAILED), true),
                BegunCase("an interrupted run", ended(0, 1, RunResult.INTERRUPTED), true),
                BegunCase(
                    "a run that was not confirmed",
                    ended(0, 1, RunResult.UNCONFIRMED),
                    false
                ),
                BegunCase("a refused order", ended(0, 1, RunResult.NEVER_RAN), false),
                BegunCase("the end of an older run", ended(0, 0, RunResult.SUCCEEDED), false)
            ) { case ->
                stateAfter(accepted(single), placed(1, 0), case.event)
                    .active.getValue(JOB).hasRun shouldBe case.hasRun
            }
        }

        test("the end of an older run ends the current one") {
            val state = stateAfter(accepted(single), placed(2, 0))
            state.apply(ended(0, 1, RunResult.SUCCEEDED), 2_000) shouldBe state
        }

        test("a resend of an accepted job resets it") {
            val state = stateAfter(accepted(single), placed(1, 0))
            state.apply(accepted(single), 2_000) shouldBe state
        }

        test("the checkpoint of one member is missing at the others of its gang") {
            val state = stateAfter(
                accepted(gang),
                placed(1, 0, 1),
                ended(0, 1, RunResult.INTERRUPTED, "saved")
            )
            state.tasks.map { it.checkpoint } shouldBe listOf("saved", "saved")
        }

        test("a cancelled job is dropped while a run of it still occupies capacity") {
            val cancelled =
                stateAfter(accepted(single), placed(1, 0), StagedEvent.JobCancelled(JOB))
            cancelled.active.keys shouldBe setOf(JOB)
            val freed = cancelled.apply(ended(0, 1, RunResult.INTERRUPTED), 2_000)
            freed.active.keys shouldBe emptySet()
            freed.ended.keys shouldBe setOf(JOB)
        }

        test("a job that ended at the time limit is deleted too early, or never") {
            val state = stateAfter(accepted(single), StagedEvent.JobCancelled(JOB))
            state.apply(StagedEvent.JobsForgotten(1_000), 2_000).job(JOB)?.outcome shouldBe
                JobOutcome.CANCELLED
            state.apply(StagedEvent.JobsForgotten(1_001), 2_000).job(JOB) shouldBe null
        }

        test("a snapshot loses staged jobs, workers or queues") {
            val worker = PushWorker(
                "w1",
                boot = 7,
                address = "127.0.0.1:1",
                service = "planning",
                failureDomain = "local",
                cpuMillis = 1_000,
                memoryMib = 64,
                accelerators = 0,
                labels = listOf("a", "r1-1")
            )
            val events = listOf(
                StagedEvent.Configured(QueueConfiguration(3, "{}", listOf(queue))),
                StagedEvent.WorkerRegistered(worker),
                accepted(single, gang.copy(after = listOf(0))),
                placed(1, 0)
            ).map { Event.Staged(it) }
            val state = CellState().apply(EventBatch(5_000, events)).state
            decodeCellState(state.encode()) shouldBe state
        }
    })
