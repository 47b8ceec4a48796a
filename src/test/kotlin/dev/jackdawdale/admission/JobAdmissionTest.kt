package dev.jackdawdale.admission

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WhenFull
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.label
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleJob
import dev.jackdawdale.model.sampleWorker
import dev.jackdawdale.model.taskId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class JobCase(
    val name: String,
    val spec: JobSpec,
    val contract: Contract = sampleContract("sri"),
    val expected: String?
)

private class JobCell(contract: Contract) {
    var state = CellState()
    var admission = admissionState(state, 0)

    init {
        append(Event.ContractChanged(ChangeId("c1"), contract))
        append(Event.WorkerJoined(sampleWorker("w1")))
    }

    fun append(event: Event) {
        val after = state.apply(event, 0)
        admission = admission.observe(event, state, after, 0)
        state = after
    }

    fun submit(spec: JobSpec): String? =
        when (val decision = decideJob(state, admission, spec, 0)) {
            is AdmissionDecision.Admitted -> null.also { decision.events.forEach(::append) }
            is AdmissionDecision.Refused -> refusalKey(decision.refusal)
        }
}

private fun refusalKey(refusal: Refusal): String = when (refusal) {
    is Refusal.LimitReached -> refusal.limit
    is Refusal.Invalid -> refusal.field
    else -> refusal.label
}

private val huge = Resources(32_000, 1_024)

class JobAdmissionTest :
    FunSpec({
        context("jobs") {
            withData(
                nameFn = { it.name },
                JobCase("a valid job is refused", sampleJob("sri", "a"), expected = null),
                JobCase(
                    "a batch job is refused because its tasks together exceed the ceiling",
                    sampleJob("sri", "a", taskCount = 90, perTask = huge),
                    expected = null
                ),
                JobCase(
                    "a gang over the ceiling is accepted and never starts",
                    sampleJob("sri", "a", JobKind.GANG, 3, huge),
                    expected = "ceiling.cpu_millis"
                ),
                JobCase(
                    "a task over the ceiling is accepted and never starts",
                    sampleJob("sri", "a", perTask = Resources(1_000, 1_024, 9)),
                    expected = "ceiling.accelerators"
                ),
                JobCase(
                    "a gang with more tasks than may run is accepted and never starts",
                    sampleJob("sri", "a", JobKind.GANG, 3),
                    sampleContract("sri").copy(maxRunningTasks = 2),
                    expected = "max_running_tasks"
                ),
                JobCase(
                    "a job larger than every worker is refused although a larger one may join",
                    sampleJob("sri", "a", perTask = Resources(100_000, 1_024)),
                    sampleContract("sri", ceiling = Resources(200_000, 2_048)),
                    expected = null
                ),
                JobCase(
                    "a job without tasks is accepted and never ends",
                    sampleJob("sri", "a", taskCount = 0),
                    expected = "task_count"
                ),
                JobCase(
                    "tasks that need no resources are accepted and overload a worker",
                    sampleJob("sri", "a", perTask = Resources()),
                    expected = "per_task"
                ),
                JobCase(
                    "a batch job without a time limit is accepted and blocks backfill",
                    sampleJob("sri", "a", timeLimitMs = null),
                    expected = "time_limit_ms"
                ),
                JobCase(
                    "an urgency that the contract does not allow is accepted",
                    sampleJob("sri", "a").copy(urgency = Urgency.URGENT),
                    sampleContract("sri").copy(urgencies = setOf(Urgency.NORMAL)),
                    expected = "urgency_not_allowed"
                ),
                JobCase(
                    "a job waits although its contract says to refuse it when the cell is full",
                    sampleJob("sri", "a", taskCount = 65),
                    sampleContract("sri").copy(whenFull = WhenFull.REFUSE),
                    expected = "cell_full"
                )
            ) { case -> JobCell(case.contract).submit(case.spec) shouldBe case.expected }
        }

        test("fully placed jobs still count as queued") {
            val cell = JobCell(sampleContract("sri").copy(maxQueuedJobs = 1))
            val spec = sampleJob("sri", "a")
            cell.submit(spec) shouldBe null
            cell.submit(sampleJob("sri", "b")) shouldBe "max_queued_jobs"
            val task = taskId(spec.workId, 0)
            cell.append(
                Event.TaskPlaced(task, WorkerId("w1"), 1, FencingToken(1), spec.perTask)
            )
            cell.submit(sampleJob("sri", "b")) shouldBe null
            cell.append(Event.TaskLost(task, FencingToken(1), "lease expired"))
            cell.admission.usageOf(spec.customerId).queuedJobs shouldBe 2
            cell.admission shouldBe cell.admission.copy(
                unplacedTasks = admissionState(cell.state, 0).unplacedTasks
            )
        }

        test("a job id reused for different tasks is treated as a resend") {
            val first = sampleJob("sri", "a")
            isSameJob(first, first.copy(urgency = Urgency.URGENT)) shouldBe true
            isSameJob(first, first.copy(taskCount = 2)) shouldBe false
        }
    })
