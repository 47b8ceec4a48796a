package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId

/**
 * Decides a cancellation. A waiting request ends at once, a placed one when its attempt has ended,
 * and a job after its tasks have stopped.
 */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun decideCancel(
    state: CellState,
    customerId: CustomerId,
    workId: WorkId,
    nowMs: Long
): CancelDecision {
    if (!workId.value.startsWith("${customerId.value}/")) return notFound(workId)
    val request = state.requests[workId]
    if (request != null) return CancelDecision.Accepted(cancelRequest(request))
    if (workId in state.jobs) return decideJobCancel(state, customerId, workId)
    return if (workId in state.ended) CancelDecision.Accepted(emptyList()) else notFound(workId)
}

private fun cancelRequest(work: RequestWork): List<Event> {
    val workId = work.spec.workId
    if (work.placement == null) {
        // An earlier attempt whose connection broke may have run.
        val outcome = Outcome.Cancelled(mayHaveRun = work.attempts > 0)
        return listOf(Event.RequestEnded(workId, outcome))
    }
    if (work.cancelRequested) return emptyList()
    return listOf(Event.CancelRequested(workId))
}

private fun notFound(workId: WorkId): CancelDecision =
    CancelDecision.Refused(Refusal.NotFound("work $workId"))
