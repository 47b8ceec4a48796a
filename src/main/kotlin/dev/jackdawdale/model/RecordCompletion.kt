package dev.jackdawdale.model

/** The record that [event] completes when it is applied to this state, or null. */
fun CellState.recordCompletedBy(event: Event, atMs: Long): WorkRecord? = when (event) {
    is Event.RequestEnded -> requests[event.workId]?.let { requestRecord(it, event, atMs) }
    is Event.JobEnded -> jobs[event.workId]?.let { jobRecord(it, event, atMs) }
    else -> null
}

private fun CellState.requestRecord(
    work: RequestWork,
    event: Event.RequestEnded,
    atMs: Long
): WorkRecord = WorkRecord(
    number = nextRecordNumber,
    workId = work.spec.workId,
    customerId = work.spec.customerId,
    asked = Asked.Request(work.spec),
    contractVersion = work.contractVersion,
    acceptedAtMs = work.acceptedAtMs,
    endedAtMs = atMs,
    outcome = event.outcome,
    attempts = work.attempts,
    lastPlacedAt = work.placement?.endpointId?.value,
    answer = event.answer
)

private fun CellState.jobRecord(job: JobWork, event: Event.JobEnded, atMs: Long): WorkRecord =
    WorkRecord(
        number = nextRecordNumber,
        workId = job.spec.workId,
        customerId = job.spec.customerId,
        asked = Asked.Job(job.spec),
        contractVersion = job.contractVersion,
        acceptedAtMs = job.acceptedAtMs,
        endedAtMs = atMs,
        outcome = event.outcome,
        attempts = tasksOf(job).sumOf { it.attempts },
        tasksSucceeded = job.succeededTasks
    )
