package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.tasksOf

/** The answer to the cancellation of a job. */
internal sealed interface TaskCancel {
    /** The job ends; without events it has ended or is being cancelled already. */
    data class Accepted(val events: List<Event>) : TaskCancel

    data class Refused(val refusal: Refusal) : TaskCancel
}

/** Decides the cancellation of the job [workId] by its customer. */
internal fun decideJobCancel(state: CellState, customerId: CustomerId, workId: WorkId): TaskCancel {
    val job = state.jobs[workId]
    if (job == null) {
        val owned = workId.value.startsWith("$customerId/")
        if (owned && workId in state.ended) return TaskCancel.Accepted(emptyList())
        return TaskCancel.Refused(Refusal.NotFound("job $workId"))
    }
    if (job.spec.customerId != customerId) {
        return TaskCancel.Refused(Refusal.NotFound("job $workId"))
    }
    if (job.cancelRequested) return TaskCancel.Accepted(emptyList())
    val request = Event.CancelRequested(workId)
    val held = state.tasksOf(job).filter { it.placement != null }
    if (held.isNotEmpty()) {
        return TaskCancel.Accepted(listOf(request) + stopsOf(held, StopReason.CANCELLED))
    }
    return TaskCancel.Accepted(listOf(request) + cancelledEnd(state, job))
}
