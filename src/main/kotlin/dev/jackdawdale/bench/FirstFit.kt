package dev.jackdawdale.bench

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import dev.jackdawdale.placement.PlacementResult
import dev.jackdawdale.placement.PlacementState
import dev.jackdawdale.placement.releaseDelayed

/** Limit of jobs in one pass. */
private const val MAX_JOBS = 200

/**
 * Baseline placement: takes jobs in order of acceptance and places each task on the first worker
 * with room. Skips jobs that fit nowhere; has no urgency, shares or preemption.
 */
internal fun placeFirstFit(
    state: CellState,
    placement: PlacementState,
    nowMs: Long,
    limit: Int
): PlacementResult {
    val start = placement.releaseDelayed(state, nowMs)
    val events = mutableListOf<Event>()
    var current = state
    val jobs = start.waiting.jobs.values.sortedBy { it.sinceMs }.take(MAX_JOBS)
    for (job in jobs) {
        for (taskId in job.tasks.take(limit - events.size)) {
            val event = firstFit(current, taskId) ?: break
            events += event
            current = current.apply(event, nowMs)
        }
    }
    return PlacementResult(events, start)
}

private fun firstFit(state: CellState, taskId: TaskId): Event? {
    val task = state.tasks[taskId]?.takeIf { it.phase == TaskPhase.WAITING } ?: return null
    val worker = state.workers.values.firstOrNull {
        it.phase == WorkerPhase.ACTIVE && task.declared.fitsInto(it.free)
    } ?: return null
    val info = worker.info
    return Event.TaskPlaced(
        taskId,
        info.workerId,
        info.incarnation,
        state.nextToken,
        task.declared
    )
}
