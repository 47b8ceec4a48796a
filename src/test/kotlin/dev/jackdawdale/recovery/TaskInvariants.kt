package dev.jackdawdale.recovery

import dev.jackdawdale.bench.VirtualCell
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobWork
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.isNonNegative
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.tasksOf
import dev.jackdawdale.placement.PlacementState
import dev.jackdawdale.placement.placementState
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldBeEmpty as shouldBeEmptyMap
import io.kotest.matchers.shouldBe

/** Checks the invariants of a virtual cell; to be called after each step. */
internal fun checkInvariants(cell: VirtualCell) {
    val state = cell.state
    checkWorkers(state)
    checkNoTaskRunsTwice(cell)
    checkCeilings(state)
    state.jobs.values.filter { it.spec.kind == JobKind.GANG }.forEach { checkGang(state, it) }
    checkIndexes(cell)
}

private fun checkWorkers(state: CellState) {
    for (worker in state.workers.values) {
        withClue("worker ${worker.info.workerId}") {
            val placements = worker.taskIds.map { checkNotNull(state.tasks[it]?.placement) }
            val counted = placements.fold(Resources()) { sum, it -> sum + it.counted }
            worker.allocated shouldBe counted
            worker.allocated.isNonNegative() shouldBe true
            worker.allocated.fitsInto(worker.info.capacity) shouldBe true
            placements.filter { it.workerId != worker.info.workerId }.shouldBeEmpty()
        }
    }
    val unlisted = state.tasks.values.filter { task ->
        val workerId = task.placement?.workerId
        workerId != null && task.taskId !in state.workers[workerId]?.taskIds.orEmpty()
    }
    withClue("tasks placed on workers that do not list them") { unlisted.shouldBeEmpty() }
}

private fun checkNoTaskRunsTwice(cell: VirtualCell) {
    val duplicates = cell.workers.values.flatMap { it.running.keys }
        .groupingBy { it }
        .eachCount()
        .filterValues { it > 1 }
    withClue("tasks running in two places") { duplicates.shouldBeEmptyMap() }
}

private fun checkCeilings(state: CellState) {
    val held = state.tasks.values.filter { it.placement != null }
        .groupBy { state.jobs.getValue(it.workId).spec.customerId }
    for ((customerId, tasks) in held) {
        val contract = state.contracts.getValue(customerId)
        val sum = tasks.fold(Resources()) { all, task ->
            all + checkNotNull(task.placement).counted
        }
        withClue("customer $customerId holds $sum in ${tasks.size} tasks") {
            sum.fitsInto(contract.ceiling) shouldBe true
            (tasks.size <= contract.maxRunningTasks) shouldBe true
        }
    }
}

private fun checkGang(state: CellState, job: JobWork) {
    val tasks = state.tasksOf(job)
    val active = tasks.any { it.phase == TaskPhase.PLACED || it.phase == TaskPhase.RUNNING }
    val waiting = tasks.any { it.phase == TaskPhase.WAITING }
    withClue("gang ${job.spec.workId} runs in part") { (active && waiting) shouldBe false }
}

private fun checkIndexes(cell: VirtualCell) {
    val rebuilt = placementState(cell.state, cell.nowMs, cell.placement.settings)
    cell.placement.indexes(cell.state) shouldBe rebuilt.indexes(cell.state)
    val recovery = taskRecoveryState(cell.state, cell.nowMs, cell.recovery.settings)
    cell.recovery.use.filterValues { it != Resources() } shouldBe
        recovery.use.filterValues { it != Resources() }
    cell.recovery.draining shouldBe recovery.draining
    cell.recovery.quarantined.keys shouldBe recovery.quarantined.keys
    cell.recovery.contacts.keys shouldBe recovery.contacts.keys
}

private data class Indexes(
    val waiting: Any,
    val workers: Any,
    val use: Any,
    val spread: Any,
    val sums: Any
)

/** The indexes in a form that does not depend on order or on empty entries. */
private fun PlacementState.indexes(state: CellState) = Indexes(
    waiting = state.tasks.values.filter { it.phase == TaskPhase.WAITING }
        .filterNot { state.jobs.getValue(it.workId).cancelRequested }
        .filter { task ->
            val queued = task.taskId in waiting.jobs[task.workId]?.tasks.orEmpty()
            !queued && waiting.delayed.values.none { task.taskId in it }
        },
    workers = workers,
    use = use.filterValues { it.tasks > 0 },
    spread = spread.filterValues { it.workers.isNotEmpty() },
    sums = preemptible to withoutTimeLimit
)
