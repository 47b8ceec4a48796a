package dev.jackdawdale.admission

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.WhenFull
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import dev.jackdawdale.model.isNonNegative
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.times

/**
 * Decides whether a new job is accepted. A job whose tasks are larger than any known worker is
 * accepted: a larger worker may join, and recovery ends the job when none does.
 */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun decideJob(
    state: CellState,
    admission: AdmissionState,
    spec: JobSpec,
    nowMs: Long
): AdmissionDecision {
    val contract = state.contracts[spec.customerId]
        ?: return AdmissionDecision.Refused(Refusal.NoContract(spec.customerId))
    val refusal = jobProblem(admission, spec)
        ?: contractProblem(spec, contract)
        ?: queueProblem(admission, spec, contract)
        ?: roomProblem(state, admission, spec, contract)
    if (refusal != null) return AdmissionDecision.Refused(refusal)
    return AdmissionDecision.Admitted(listOf(Event.JobAccepted(spec, contract.version)))
}

/** Upper bound per dimension, so that the sum over all tasks of a job cannot overflow. */
private const val MAX_AMOUNT_PER_TASK = 1_000_000_000_000L

private fun jobProblem(admission: AdmissionState, spec: JobSpec): Refusal? {
    val maxTasks = admission.settings.maxTasksPerJob
    val perTask = spec.perTask
    val largest = maxOf(perTask.cpuMillis, perTask.memoryMib, perTask.accelerators)
    val timeLimitMs = spec.timeLimitMs
    return when {
        spec.taskCount !in 1..maxTasks ->
            Refusal.Invalid("task_count", "must be from 1 to $maxTasks")
        !perTask.isNonNegative() || largest > MAX_AMOUNT_PER_TASK ->
            Refusal.Invalid("per_task", "must be from 0 to $MAX_AMOUNT_PER_TASK")
        perTask == Resources() ->
            Refusal.Invalid("per_task", "must ask for some resource")
        timeLimitMs == null && spec.kind != JobKind.SERVICE ->
            Refusal.Invalid("time_limit_ms", "is required for batch jobs and gangs")
        timeLimitMs != null && timeLimitMs <= 0 ->
            Refusal.Invalid("time_limit_ms", "must be positive")
        else -> null
    }
}

private fun contractProblem(spec: JobSpec, contract: Contract): Refusal? {
    if (spec.urgency !in contract.urgencies) return Refusal.UrgencyNotAllowed(spec.urgency)
    // Tasks of a batch job may run one after another; other kinds run all tasks at the same time.
    val simultaneous = if (spec.kind == JobKind.BATCH) 1 else spec.taskCount
    val allowedTasks = contract.maxRunningTasks
    if (simultaneous > allowedTasks) {
        return Refusal.LimitReached("max_running_tasks", allowedTasks.toLong(), null)
    }
    val needed = spec.perTask * simultaneous
    val ceiling = contract.ceiling
    return when {
        needed.cpuMillis > ceiling.cpuMillis ->
            Refusal.LimitReached("ceiling.cpu_millis", ceiling.cpuMillis, null)
        needed.memoryMib > ceiling.memoryMib ->
            Refusal.LimitReached("ceiling.memory_mib", ceiling.memoryMib, null)
        needed.accelerators > ceiling.accelerators ->
            Refusal.LimitReached("ceiling.accelerators", ceiling.accelerators, null)
        else -> null
    }
}

private fun queueProblem(admission: AdmissionState, spec: JobSpec, contract: Contract): Refusal? {
    val allowed = contract.maxQueuedJobs
    if (admission.usageOf(spec.customerId).queuedJobs < allowed) return null
    val retryMs = admission.retryMs(spec.workId).takeIf { allowed > 0 }
    return Refusal.LimitReached("max_queued_jobs", allowed.toLong(), retryMs)
}

private fun roomProblem(
    state: CellState,
    admission: AdmissionState,
    spec: JobSpec,
    contract: Contract
): Refusal? {
    if (contract.whenFull != WhenFull.REFUSE) return null
    if (state.hasRoomFor(spec)) return null
    return Refusal.CellFull(admission.retryMs(spec.workId))
}

private fun CellState.hasRoomFor(spec: JobSpec): Boolean {
    var missing = spec.taskCount
    for (worker in workers.values) {
        if (worker.phase != WorkerPhase.ACTIVE) continue
        var free = worker.free
        while (missing > 0 && spec.perTask.fitsInto(free)) {
            free = free - spec.perTask
            missing--
        }
        if (missing == 0) return true
    }
    return false
}
