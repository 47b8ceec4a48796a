package dev.jackdawdale.recovery

import dev.jackdawdale.bench.RunPlan
import dev.jackdawdale.bench.VirtualCell
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleJob
import dev.jackdawdale.model.sampleWorker
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val workerCapacity = Resources(4_000, 8_192)

private fun cell(workers: Int, plan: (WorkerId) -> RunPlan) =
    VirtualCell(plan = { workerId, _ -> plan(workerId) }).apply {
        val big = Resources(1_000_000, 1_000_000, 100)
        append(Event.ContractChanged(ChangeId("c"), sampleContract("acme", ceiling = big)))
        repeat(workers) { addWorker(sampleWorker("w$it", capacity = workerCapacity)) }
    }

private fun VirtualCell.submit(
    id: String,
    kind: JobKind = JobKind.BATCH,
    taskCount: Int = 1,
    perTask: Resources = Resources(1_000, 1_024),
    urgency: Urgency = Urgency.NORMAL
) {
    val limitMs = if (kind == JobKind.SERVICE) null else 60_000L
    val spec = sampleJob("acme", id, kind, taskCount, perTask, limitMs).copy(urgency = urgency)
    append(Event.JobAccepted(spec, 1))
}

private fun VirtualCell.outcome(id: String): Outcome? = state.ended[WorkId("acme/$id")]?.outcome

private val succeeds = RunPlan(1_000, Resources(500, 500))
private val lasts = RunPlan(50_000, Resources(500, 500))
private val fails = RunPlan(100, Resources(500, 500), TaskResult.FAILED)

private data class FailureCase(val failure: String, val check: () -> Unit)

private val failureCases = listOf(
    FailureCase("a batch job whose tasks all succeeded never ends") {
        val cell = cell(2) { succeeds }
        cell.submit("j", taskCount = 10)
        cell.run(10_000)
        cell.outcome("j") shouldBe Outcome.Succeeded
    },
    FailureCase("a job that fails on every worker is retried forever") {
        val cell = cell(4) { fails }
        cell.submit("j")
        cell.run(60_000)
        cell.outcome("j").shouldBeInstanceOf<Outcome.CannotRun>()
    },
    FailureCase("a job larger than any worker waits forever") {
        val cell = cell(2) { succeeds }
        cell.submit("j", perTask = Resources(8_000, 1_024))
        cell.run(59_000)
        cell.outcome("j") shouldBe null
        cell.run(62_000)
        cell.outcome("j").shouldBeInstanceOf<Outcome.CannotRun>()
    },
    FailureCase("a larger worker that joins in time does not get the job") {
        val cell = cell(1) { succeeds }
        cell.submit("j", perTask = Resources(8_000, 1_024))
        cell.run(30_000)
        cell.addWorker(sampleWorker("big", capacity = Resources(16_000, 16_384)))
        cell.run(70_000)
        cell.outcome("j") shouldBe Outcome.Succeeded
    },
    FailureCase("a worker on which every task fails makes jobs fail") {
        val bad = WorkerId("w0")
        val cell = cell(8) { if (it == bad) fails else succeeds }
        repeat(20) { cell.submit("j$it", taskCount = 4) }
        cell.run(20_000)
        cell.state.workers[bad]?.phase shouldBe WorkerPhase.QUARANTINED
        cell.run(120_000)
        repeat(20) { cell.outcome("j$it") shouldBe Outcome.Succeeded }
    },
    FailureCase("a task runs elsewhere before the lease of its silent worker has expired") {
        val cell = cell(2) { lasts }
        cell.submit("j")
        cell.run(1_000)
        val first = cell.state.tasks.getValue(TaskId("acme/j#0")).placement?.workerId
        cell.workers.getValue(checkNotNull(first)).silent = true
        cell.run(10_500)
        cell.state.tasks.getValue(TaskId("acme/j#0")).placement?.workerId shouldBe first
        cell.run(16_000)
        (cell.state.tasks.getValue(TaskId("acme/j#0")).placement?.workerId == first) shouldBe false
    },
    FailureCase("tasks of a silent worker that does not enforce leases are released") {
        val cell = cell(1) { lasts }
        cell.addWorker(sampleWorker("free", capacity = workerCapacity).copy(enforcesLeases = false))
        cell.submit("j", taskCount = 8)
        cell.run(1_000)
        cell.workers.getValue(WorkerId("free")).silent = true
        cell.run(40_000)
        cell.state.workers.getValue(WorkerId("free")).taskIds.size shouldBe 4
        val id = WorkerId("free")
        cell.append(decideWorkerLost(cell.state, cell.recovery, id, cell.nowMs).events)
        cell.state.workers[id] shouldBe null
    },
    FailureCase("a late announcement of an older process changes the state") {
        val cell = cell(1) { lasts }
        val old = cell.workers.getValue(WorkerId("w0")).info
        cell.workers.getValue(WorkerId("w0")).restart()
        cell.run(1_000)
        val late = decideAnnouncement(
            cell.state,
            cell.recovery,
            old,
            leaving = true,
            running = emptyList(),
            ended = emptyList(),
            nowMs = 1_000
        )
        late.events shouldBe emptyList()
        late.current shouldBe false
    },
    FailureCase("a cancelled job ends while a task still holds its worker") {
        val cell = cell(1) { lasts }
        cell.submit("j", taskCount = 2)
        cell.run(1_000)
        val cancel = decideJobCancel(cell.state, CustomerId("acme"), WorkId("acme/j"))
        cell.append(cancel.shouldBeInstanceOf<CancelDecision.Accepted>().events)
        cell.outcome("j") shouldBe null
        cell.run(3_000)
        cell.outcome("j") shouldBe Outcome.Cancelled(mayHaveRun = true)
    },
    FailureCase("a job cancelled before its start is reported as possibly run") {
        val cell = cell(0) { lasts }
        cell.submit("j")
        val cancel = decideJobCancel(cell.state, CustomerId("acme"), WorkId("acme/j"))
        cell.append(cancel.shouldBeInstanceOf<CancelDecision.Accepted>().events)
        cell.outcome("j") shouldBe Outcome.Cancelled(mayHaveRun = false)
    },
    FailureCase("a customer cancels the job of another") {
        val cell = cell(1) { lasts }
        cell.submit("j")
        decideJobCancel(cell.state, CustomerId("birch"), WorkId("acme/j"))
            .shouldBeInstanceOf<CancelDecision.Refused>()
    },
    FailureCase("urgent work waits for batch work that fills the cell") {
        val cell = cell(1) { lasts }
        cell.submit("long", taskCount = 4)
        cell.run(1_000)
        cell.submit("now", urgency = Urgency.URGENT)
        cell.run(2_000)
        (cell.state.tasks[TaskId("acme/now#0")]?.placement != null) shouldBe true
        cell.state.tasks.values.count { it.preemptions == 1 } shouldBe 1
    },
    FailureCase("a draining worker gets new work or keeps its services") {
        val cell = cell(2) { lasts }
        cell.submit("s", JobKind.SERVICE, taskCount = 2)
        cell.run(1_000)
        cell.workers.getValue(WorkerId("w0")).leaving = true
        cell.run(5_000)
        cell.submit("j")
        cell.run(6_000)
        cell.state.workers.getValue(WorkerId("w0")).taskIds.size shouldBe 0
        cell.state.workers.getValue(WorkerId("w1")).taskIds.size shouldBe 3
    },
    FailureCase("part of a gang keeps running after one of its tasks failed") {
        var runs = 0
        val cell = cell(2) { if (runs++ == 0) fails else succeeds.copy(durationMs = 20_000) }
        cell.submit("g", JobKind.GANG, taskCount = 4)
        cell.run(1_000)
        val phases = cell.state.tasks.values.map { it.placement != null }.toSet()
        phases.size shouldBe 1
        cell.run(60_000)
        cell.outcome("g") shouldBe Outcome.Succeeded
    },
    FailureCase("usage above the declared size is not counted") {
        val cell = cell(1) { RunPlan(50_000, Resources(3_000, 2_048)) }
        cell.submit("j")
        cell.run(3_000)
        cell.state.workers.getValue(WorkerId("w0")).allocated shouldBe Resources(3_000, 2_048)
    },
    FailureCase("a task that uses more memory than its worker has is never stopped") {
        val cell = cell(1) { RunPlan(50_000, Resources(500, 9_000)) }
        cell.submit("j", taskCount = 2)
        cell.run(12_000)
        cell.state.workers.getValue(WorkerId("w0")).taskIds.size shouldBe 1
    }
)

class TaskRecoveryTest :
    FunSpec({
        context("recovery of tasks guards against") {
            withData(nameFn = FailureCase::failure, failureCases) { it.check() }
        }
    })
