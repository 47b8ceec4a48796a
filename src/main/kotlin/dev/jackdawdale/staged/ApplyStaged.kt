package dev.jackdawdale.staged

import dev.jackdawdale.model.CustomerId
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.toPersistentHashMap

/** Applies one event; an event about something that no longer exists changes nothing. */
fun StagedState.apply(event: StagedEvent, atMs: Long): StagedState = when (event) {
    is StagedEvent.JobAccepted -> accept(event, atMs)
    is StagedEvent.OccurrenceBegun -> change(event.jobId, atMs) { it.begin(event.number) }
    is StagedEvent.JobCancelled -> cancel(event.jobId, atMs)
    is StagedEvent.JobBegun -> change(event.jobId, atMs) { it.copy(hasRun = true) }
    is StagedEvent.TasksPlaced -> change(event.stepId.jobId, atMs) { it.place(event, atMs) }
    is StagedEvent.RunEnded -> change(event.taskId.stepId.jobId, atMs) { it.endRun(event) }
    is StagedEvent.WorkerRegistered ->
        copy(workers = workers.put(event.worker.workerId, event.worker))
    is StagedEvent.WorkerLeft -> removeWorker(event)
    is StagedEvent.Configured -> configure(event.configuration)
    is StagedEvent.JobsForgotten -> forget(event.endedBeforeMs)
}

private fun StagedState.accept(event: StagedEvent.JobAccepted, atMs: Long): StagedState {
    val jobId = event.spec.jobId
    if (job(jobId) != null) return this
    val accepted = StagedJob(
        event.spec,
        event.terms,
        atMs,
        owner = event.owner,
        beyondRate = event.beyondRate
    )
    if (jobId in refusedIds) {
        val cancelled = accepted.copy(outcome = JobOutcome.CANCELLED, endedAtMs = atMs)
        return copy(ended = ended.put(jobId, cancelled.withoutPayload()))
    }
    val begun = if (event.spec.schedule == null) accepted.begin(0) else accepted
    return copy(active = active.put(jobId, begun))
}

private fun StagedJob.begin(number: Int): StagedJob {
    if (occurrences.any { it.number == number }) return this
    val steps = spec.steps.map { step -> StageStep(List(step.taskCount) { StageTask() }) }
    return copy(occurrences = occurrences + Occurrence(number, steps))
}

private fun StagedState.cancel(jobId: String, atMs: Long): StagedState {
    if (job(jobId) == null) return copy(refusedIds = refusedIds.put(jobId, atMs))
    return change(jobId, atMs) {
        if (it.outcome != null) it else it.copy(outcome = JobOutcome.CANCELLED, endedAtMs = atMs)
    }
}

private fun StagedState.removeWorker(event: StagedEvent.WorkerLeft): StagedState {
    if (workers[event.workerId]?.boot != event.boot) return this
    return copy(workers = workers.remove(event.workerId))
}

private fun StagedState.configure(configuration: QueueConfiguration): StagedState {
    val configured = configuration.customers.orEmpty().associateBy { it.customerId }
    val owners = active.values.mapNotNullTo(HashSet()) { it.owner?.customerId }
    val stillUsed = contracts.filterKeys { it !in configured && it in owners }
    return copy(
        configuration = configuration,
        contracts = (stillUsed + configured).toPersistentHashMap()
    )
}

private fun StagedState.forget(endedBeforeMs: Long): StagedState {
    val old = ended.values.takeWhile { (it.endedAtMs ?: 0) < endedBeforeMs }
    val refused = refusedIds.entries.takeWhile { it.value < endedBeforeMs }.map { it.key }
    return copy(ended = ended - old.map { it.spec.jobId }, refusedIds = refusedIds - refused)
}

/**
 * Changes an active job and decides whether it has an outcome. Moves it to the ended jobs once it
 * has one and none of its tasks occupies capacity.
 */
private fun StagedState.change(
    jobId: String,
    atMs: Long,
    change: (StagedJob) -> StagedJob
): StagedState {
    val before = active[jobId] ?: return this
    val after = change(before).withOutcome(atMs)
    val isFinished = after.outcome != null && after.placements().isEmpty()
    if (!isFinished) return copy(active = active.put(jobId, after))
    return copy(active = active.remove(jobId), ended = ended.put(jobId, after.withoutPayload()))
        .withoutUnusedContract(after.owner?.customerId)
}

/** Drops the contract of [customerId] if it is not configured and has no active job. */
private fun StagedState.withoutUnusedContract(customerId: CustomerId?): StagedState {
    if (customerId == null || customerId !in contracts) return this
    val isUsed = configuration?.customers.orEmpty().any { it.customerId == customerId } ||
        active.values.any { it.owner?.customerId == customerId }
    return if (isUsed) this else copy(contracts = contracts.remove(customerId))
}

/** Drops the parts that only a start needs; the payload is large. */
private fun StagedJob.withoutPayload() = copy(
    spec = spec.copy(payload = "", steps = emptyList()),
    occurrences = emptyList()
)

private fun StagedJob.withOutcome(atMs: Long): StagedJob = when {
    outcome != null -> this
    hasFailed() -> copy(outcome = JobOutcome.FAILED, endedAtMs = atMs)
    isDone() -> copy(outcome = JobOutcome.COMPLETED, endedAtMs = atMs)
    else -> this
}

private fun StagedJob.isDone(): Boolean {
    val wanted = spec.schedule?.count ?: 1
    return occurrences.size >= wanted &&
        occurrences.all { occurrence -> occurrence.steps.all { it.isComplete } }
}

private fun StagedJob.hasFailed(): Boolean = occurrences.any { occurrence ->
    occurrence.steps.withIndex().any { (number, step) -> hasFailed(spec.steps[number], step) }
}

private fun StagedJob.hasFailed(spec: StepSpec, step: StageStep): Boolean = when {
    spec.longRunning -> false
    spec.gang -> step.gangFailures >= terms.maxAttempts && !step.isComplete
    else -> step.tasks.any { !it.succeeded && it.failedRuns >= terms.maxAttempts }
}

private fun StagedJob.place(event: StagedEvent.TasksPlaced, atMs: Long): StagedJob {
    val placed = event.placed.associateBy { it.index }
    val changed = changeStep(event.stepId) { step ->
        step.copy(
            tasks = step.tasks.mapIndexed { index, task ->
                val place = placed[index] ?: return@mapIndexed task
                val placement = RunPlacement(
                    place.workerId,
                    place.workerBoot,
                    event.run,
                    event.term,
                    atMs
                )
                task.copy(placement = placement, lastRun = maxOf(task.lastRun, event.run))
            }
        )
    }
    return changed.copy(startedAtMs = startedAtMs ?: atMs)
}

private fun StagedJob.endRun(event: StagedEvent.RunEnded): StagedJob {
    val spec = spec.steps.getOrNull(event.taskId.stepId.step) ?: return this
    val changed = changeStep(event.taskId.stepId) { it.endRun(event, spec) }
    val hasStarted = changed != this &&
        when (event.result) {
            RunResult.SUCCEEDED, RunResult.FAILED, RunResult.INTERRUPTED -> true
            RunResult.UNCONFIRMED, RunResult.NEVER_RAN -> false
        }
    return if (hasStarted) changed.copy(hasRun = true) else changed
}

private fun StageStep.endRun(event: StagedEvent.RunEnded, spec: StepSpec): StageStep {
    val task = tasks.getOrNull(event.taskId.index) ?: return this
    val placement = task.placement ?: return this
    if (placement.run != event.run) return this
    val failed = event.result == RunResult.FAILED
    val succeeded = event.result == RunResult.SUCCEEDED && !spec.longRunning
    val next = task.copy(
        succeeded = task.succeeded || succeeded,
        placement = null,
        failedRuns = task.failedRuns + if (failed) 1 else 0,
        failedOn = if (failed) task.failedOn + placement.workerId else task.failedOn,
        checkpoint = event.checkpoint.ifEmpty { task.checkpoint }
    )
    val changed = copy(
        tasks = tasks.mapIndexed { i, t ->
            if (i ==
                event.taskId.index
            ) {
                next
            } else {
                t
            }
        }
    )
    return if (spec.gang) changed.endGangRun(event, failed, succeeded) else changed
}

/** A member's success or checkpoint applies to the whole gang; failures in one run count once. */
private fun StageStep.endGangRun(
    event: StagedEvent.RunEnded,
    failed: Boolean,
    succeeded: Boolean
): StageStep {
    val isFirstFailure = failed && lastFailedRun != event.run
    return copy(
        tasks = tasks.map {
            it.copy(
                succeeded = it.succeeded || succeeded,
                checkpoint = event.checkpoint.ifEmpty { it.checkpoint }
            )
        },
        gangFailures = gangFailures + if (isFirstFailure) 1 else 0,
        lastFailedRun = if (isFirstFailure) event.run else lastFailedRun
    )
}

private fun StagedJob.changeStep(id: StepId, change: (StageStep) -> StageStep): StagedJob = copy(
    occurrences = occurrences.map { occurrence ->
        if (occurrence.number != id.occurrence) return@map occurrence
        val steps = occurrence.steps.mapIndexed { number, step ->
            if (number == id.step) change(step) else step
        }
        occurrence.copy(steps = steps)
    }
)
