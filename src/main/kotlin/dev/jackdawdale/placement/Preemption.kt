package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus

/** Tasks to preempt on [worker] so that the waiting task fits. */
internal data class Victims(val worker: Worker, val tasks: List<Task>)

/** Urgent work and work within its customer's guaranteed share may preempt; gangs never do. */
internal fun mayPreempt(demand: Demand, guaranteed: Boolean): Boolean =
    demand.job.spec.kind != JobKind.GANG &&
        (demand.job.spec.urgency == Urgency.URGENT || guaranteed)

/** The smallest set of victims found for [demand], all on one worker; null when there is none. */
internal fun chooseVictims(state: CellState, placement: PlacementState, demand: Demand): Victims? {
    val candidates = placement.preemptible.asSequence()
        .mapNotNull { (workerId, preemptible) ->
            candidate(state, placement, demand, workerId, preemptible)
        }
        .take(placement.settings.maxPreemptionWorkers)
    return candidates
        .mapNotNull { (worker, available) ->
            victimsOn(state, placement, demand, worker, available)
        }
        .minByOrNull { it.tasks.size }
}

private data class Candidate(val worker: Worker, val available: Resources)

/** The worker, if stopping all of its preemptible tasks made enough room, else null. */
private fun candidate(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    workerId: WorkerId,
    preemptible: Resources
): Candidate? {
    val worker = state.workers[workerId] ?: return null
    if (worker.phase != WorkerPhase.ACTIVE || workerId in demand.avoided) return null
    val available = placement.available(worker, demand)
    return if (demand.need.fitsInto(available + preemptible)) Candidate(worker, available) else null
}

private fun victimsOn(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    worker: Worker,
    available: Resources
): Victims? {
    val candidates = worker.taskIds.mapNotNull { state.tasks[it] }
        .filter { isVictim(state, placement, demand, it) }
        .sortedWith(
            compareBy(
                { state.jobs.getValue(it.workId).spec.urgency != Urgency.DEFERRABLE },
                { -(it.placement?.placedAtMs ?: 0) }
            )
        )
    val chosen = mutableListOf<Task>()
    val uses = mutableMapOf<CustomerId, CustomerUse>()
    var room = available
    for (task in candidates) {
        if (demand.need.fitsInto(room)) break
        val customerId = state.jobs.getValue(task.workId).spec.customerId
        val use = uses[customerId] ?: placement.use[customerId] ?: CustomerUse()
        val counted = checkNotNull(task.placement).counted
        if (!use.canSpare(state.contracts[customerId], counted)) continue
        uses[customerId] = use.copy(stopping = use.stopping + counted)
        chosen += task
        room += counted
    }
    if (!demand.need.fitsInto(room)) return null
    return Victims(worker, withoutRedundant(chosen, room, demand.need))
}

private fun isVictim(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    task: Task
): Boolean {
    val job = state.jobs[task.workId] ?: return false
    return isPreemptible(job.spec, task) &&
        task.preemptions < placement.settings.maxPreemptions &&
        job.spec.customerId != demand.job.spec.customerId.takeIf {
            demand.job.spec.urgency != Urgency.URGENT
        }
}

/** Leaves out tasks that need not be stopped, those with the most processors first. */
private fun withoutRedundant(chosen: List<Task>, room: Resources, need: Resources): List<Task> {
    var rest = room
    val redundant = mutableSetOf<TaskId>()
    for (task in chosen.sortedByDescending { it.placement?.counted?.cpuMillis }) {
        val counted = checkNotNull(task.placement).counted
        if (need.fitsInto(rest - counted)) {
            rest -= counted
            redundant += task.taskId
        }
    }
    return chosen.filter { it.taskId !in redundant }
}

internal fun Victims.stopEvents(): List<Event.TaskStopRequested> = tasks.map {
    Event.TaskStopRequested(it.taskId, checkNotNull(it.placement).token, StopReason.PREEMPTED)
}
