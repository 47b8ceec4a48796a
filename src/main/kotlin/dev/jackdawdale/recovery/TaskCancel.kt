package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.tasksOf

/** Decides the cancellation of the job [workId] by its customer. */
internal fun decideJobCancel(
    state: CellState,
    customerId: CustomerId,
    workId: WorkId
): CancelDecision {
    val job = state.jobs[workId]
    if (job == null) {
        val owned = workId.value.startsWith("$customerId/")
        if (owned && workId in state.ended) return CancelDecision.Accepted(emptyList())
        return CancelDecision.Refused(Refusal.NotFound("job $workId"))
    }
    if (job.spec.customerId != customerId) {
        return CancelDecision.Refused(Refusal.NotFound("job $workId"))
    }
    if (job.cancelRequested) return CancelDecision.Accepted(emptyList())
    val request = Event.CancelRequested(workId)
    val held = state.tasksOf(job).filter { it.placement != null }
    if (held.isNotEmpty()) {
        return CancelDecision.Accepted(listOf(request) + stopsOf(held, StopReason.CANCELLED))
    }
    return CancelDecision.Accepted(listOf(request) + cancelledEnd(state, job))
}
