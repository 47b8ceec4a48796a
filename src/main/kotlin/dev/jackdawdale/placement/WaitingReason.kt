package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.times

/** Why the job [workId] has waiting tasks, as text for operators; null for an unknown job. */
internal fun waitingReason(
    state: CellState,
    placement: PlacementState,
    workId: WorkId,
    nowMs: Long
): String? {
    val job = state.jobs[workId] ?: return null
    if (job.cancelRequested) return "is being cancelled"
    val waiting = placement.waiting.jobs[workId] ?: return "waits before the next try"
    val customerId = job.spec.customerId
    val contract = state.contracts[customerId] ?: return "customer has no contract"
    val gang = job.spec.kind == JobKind.GANG
    val count = if (gang) job.spec.taskCount - job.succeededTasks else 1
    val demand = demand(state, placement, job, nowMs)
    val use = placement.use[customerId] ?: CustomerUse()
    return when {
        gang && waiting.tasks.size < count -> "waits until all tasks of the gang can start"
        !use.allows(contract, demand.need * count, count) -> "the contract's ceiling is reached"
        placement.workers.countLargeEnough(demand.need) == 0 ->
            "needs ${demand.need}, which no active worker has"
        reservationKey(workId) in placement.reservations.byTask -> "capacity is reserved for it"
        waiting.tasks.any { it in placement.reservations.byTask } ->
            "waits until other work has stopped"
        else -> "waits for free capacity"
    }
}
