package dev.jackdawdale.recovery

import dev.jackdawdale.bench.RunPlan
import dev.jackdawdale.bench.VirtualCell
import dev.jackdawdale.bench.VirtualWorker
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.JobWork
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleJob
import dev.jackdawdale.model.sampleWorker
import dev.jackdawdale.placement.waitingReason
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val STEPS = 400
private const val STEP_MS = 100L
private const val WORKERS = 10
private const val SETTLE_MS = 900_000L
private val customers = listOf("acme", "birch", "cedar")

/** Random operations on a virtual cell; the same seed gives the same sequence. */
private class OperationSequence(seed: Long) {
    private val random = Random(seed)
    private var settling = false
    private var jobs = 0
    val accepted = mutableListOf<JobSpec>()
    val cell = VirtualCell(
        plan = { _, order -> plan(order) },
        losesAnswer = { !settling && random.nextInt(20) == 0 }
    )

    init {
        for (name in customers) {
            val guaranteed = Resources(random.nextLong(0, 16_000), random.nextLong(0, 16_000))
            val contract = sampleContract(name, ceiling = Resources(100_000, 200_000, 8))
            cell.append(
                Event.ContractChanged(ChangeId(name), contract.copy(guaranteed = guaranteed))
            )
        }
        repeat(WORKERS) { addWorker(it) }
    }

    private fun addWorker(number: Int) = cell.addWorker(
        sampleWorker(
            "w$number",
            capacity = Resources(16_000, 32_768, if (number % 4 == 0) 2 else 0),
            rack = "r${number / 2}",
            failureDomain = "d${number % 3}"
        ).copy(enforcesLeases = number % 5 != 1)
    )

    private fun plan(order: WorkerOrder.Start): RunPlan {
        val factor = if (random.nextInt(6) == 0) random.nextInt(1, 5) else 1
        val usage = Resources(
            order.resources.cpuMillis * factor / 2,
            order.resources.memoryMib * factor / 2,
            order.resources.accelerators
        )
        val fails = !settling && random.nextInt(15) == 0
        val result = if (fails) TaskResult.FAILED else TaskResult.SUCCEEDED
        return RunPlan(random.nextLong(100, 20_000), usage, result)
    }

    fun step() {
        when (random.nextInt(30)) {
            in 0..7 -> submit()
            8 -> cell.state.jobs.values.randomOrNull(random)?.let(::cancel)
            9 -> anyWorker()?.let { it.silent = !it.silent }
            10 -> anyWorker()?.restart()
            11 -> cell.changeLeader()
            12 -> anyWorker()?.let { it.leaving = !it.leaving }
            13 -> confirmLost()
            14 -> operate(WorkerPhase.DRAINING)
            15 -> operate(WorkerPhase.ACTIVE)
            else -> Unit
        }
        cell.step(STEP_MS)
    }

    fun endFaultsAndRunUntilFinished() {
        settling = true
        cell.state.jobs.values.filter { it.spec.kind == JobKind.SERVICE }.forEach(::cancel)
        for (worker in cell.workers.values) {
            if (!worker.info.enforcesLeases) worker.restart()
            worker.silent = false
            worker.leaving = false
        }
        cell.state.workers.values.filter { it.phase == WorkerPhase.DRAINING }.forEach {
            val info = it.info
            val active = WorkerPhase.ACTIVE
            cell.append(Event.WorkerPhaseChanged(info.workerId, info.incarnation, active))
        }
        val endMs = cell.nowMs + SETTLE_MS
        while (cell.nowMs < endMs && unfinished().isNotEmpty()) cell.step(STEP_MS)
    }

    fun unfinished(): List<WorkId> = cell.state.jobs.values
        .filter { it.spec.kind != JobKind.SERVICE }
        .map { it.spec.workId }

    /** Lists work that has not ended, with the reason why it waits. */
    fun describeUnfinished(): String = unfinished().joinToString("; ") { id ->
        "$id: ${waitingReason(cell.state, cell.placement, id, cell.nowMs)}"
    }

    private fun submit() {
        val kind = JobKind.entries.random(random)
        val spec = sampleJob(
            customers.random(random),
            "j${jobs++}",
            kind = kind,
            taskCount = random.nextInt(1, 6),
            perTask = Resources(
                random.nextLong(1, 8) * 1_000,
                random.nextLong(1, 8) * 1_024,
                if (random.nextInt(8) == 0) 1 else 0
            ),
            timeLimitMs = if (kind == JobKind.SERVICE) null else 30_000
        ).copy(urgency = Urgency.entries.random(random))
        accepted += spec
        cell.append(Event.JobAccepted(spec, 1))
    }

    private fun cancel(job: JobWork) {
        val spec = job.spec
        val decision = decideJobCancel(cell.state, spec.customerId, spec.workId)
        cell.append((decision as CancelDecision.Accepted).events)
    }

    private fun confirmLost() {
        val worker = cell.workers.values.firstOrNull { it.silent } ?: return
        val workerId = worker.info.workerId
        val decision = decideWorkerLost(cell.state, cell.recovery, workerId, cell.nowMs)
        worker.restart()
        cell.append(decision.events)
    }

    private fun operate(phase: WorkerPhase) {
        val worker = cell.state.workers.values.randomOrNull(random) ?: return
        val info = worker.info
        if (worker.phase == WorkerPhase.LOST) return
        cell.append(Event.WorkerPhaseChanged(info.workerId, info.incarnation, phase))
    }

    private fun anyWorker(): VirtualWorker? = cell.workers.values.randomOrNull(random)
}

class TaskSequenceTest :
    FunSpec({
        context("random operations with wrong usage, silent workers, restarts and new leaders") {
            withData(nameFn = { "keep all invariants and lose no work (seed $it)" }, 1L..20L) {
                val sequence = OperationSequence(it)
                repeat(STEPS) { step ->
                    sequence.step()
                    withClue("step $step") { checkInvariants(sequence.cell) }
                }
                sequence.endFaultsAndRunUntilFinished()
                val state = sequence.cell.state
                val lost = sequence.accepted.map { spec -> spec.workId }
                    .filter { id -> id !in state.jobs && id !in state.ended }
                lost.shouldBeEmpty()
                withClue(sequence.describeUnfinished()) { sequence.unfinished().shouldBeEmpty() }
                val failed = state.ended.values.count { it.outcome is Outcome.CannotRun }
                (failed <= sequence.accepted.size / 4) shouldBe true
                state.contracts.keys shouldBe customers.map(::CustomerId).toSet()
            }
        }
    })
