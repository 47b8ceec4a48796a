package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.Occurrence
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageStep
import dev.jackdawdale.staged.StageTask
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.rack

/**
 * Refuses new jobs that can't be of use to their callers, by the measured drain of the cell and the
 * work that waits. Used on the control thread only.
 *
 * @param order the order in which waiting steps are served
 * @param beganMs when the leader's term began
 */
internal class JobAdmission(
    private val context: LeaderContext,
    private val placement: StepPlacement,
    private val order: StepOrder,
    beganMs: Long
) {
    private val turns = RetryTurns()
    private val joins = WorkerJoins(beganMs)

    /** The waiting steps in the order of rank, as of [queuedAtMs]; a pass may have many submits. */
    private var queued = emptyList<QueuedStep>()
    private var queuedAtMs = Long.MIN_VALUE

    /** Time after which the caller of a refused job may retry, or null when it is not refused. */
    fun refusal(pass: Pass, accepted: StagedEvent.JobAccepted): Long? {
        // A job that was cancelled before it arrived is recorded as such, and takes no capacity.
        if (accepted.spec.jobId in pass.state.staged.refusedIds) return null
        return sizeRefusal(pass, accepted) ?: loadRefusal(pass, accepted)
    }

    private fun sizeRefusal(pass: Pass, accepted: StagedEvent.JobAccepted): Long? {
        if (accepted.spec.steps.none { it.gang }) return null
        val state = pass.state.staged
        val owner = accepted.owner?.customerId
        val workers = state.workers.values.filter { it.service == accepted.terms.service }
        val areKnown = joins.areKnown(accepted.terms.service, workers, pass.nowMs)
        val hasSlots = { step: StepSpec -> workers.haveSlotsWhenEmpty(step) }
        // By the time of a later occurrence, more workers may have joined.
        val fits = hasSlots.takeIf { areKnown && accepted.spec.schedule == null }
        val ceiling = owner?.let { state.contracts[it]?.ceiling }
        val reason = sizeRefusal(accepted.spec.steps, ceiling, fits) ?: return null
        record(pass, accepted, reason, GREATEST_RETRY_AFTER_MS) {
            val gang = accepted.spec.steps.filter { it.gang }.maxBy { it.taskCount }
            "a gang of ${gang.taskCount} tasks of ${gang.perTask}, ceiling $ceiling, " +
                "${workers.size} workers registered"
        }
        return GREATEST_RETRY_AFTER_MS
    }

    private fun loadRefusal(pass: Pass, accepted: StagedEvent.JobAccepted): Long? {
        val nowMs = pass.nowMs
        val inputs = inputs(pass.state.staged, nowMs)
        val isUnbounded = accepted.spec.schedule != null ||
            accepted.spec.steps.any { it.longRunning }
        if (isUnbounded || !context.drain.isKnown(nowMs)) return null
        if (queuedAtMs != nowMs) {
            queued = placement.waiting(nowMs).map { it.queued(inputs) }.sortedBy { it.rank }
            queuedAtMs = nowMs
        }
        if (queued.isEmpty()) return null
        val first = firstSteps(accepted, nowMs).minBy { it.latestStartMs }
        val job = first.queued(inputs)
        val drain = context.drain.drain(job.service, nowMs)
        val expected = expectedStart(job, queued, drain, nowMs)
        val reason = expected.reason ?: return null
        if (startsAtOnce(first, nowMs)) return null
        val turnMs = drainTimeMs(job.demand, job.service, drain)
        val retryMs = turns.next(accepted.terms.name, expected.excessMs(), turnMs, nowMs)
        record(pass, accepted, reason, retryMs) {
            val cores = (drain.cpuMillis[job.service] ?: 0.0) / MILLIS_PER_CORE
            "expected to start in ${expected.waitMs.toLong()} ms, " +
                "of use until ${expected.limitMs} ms; ${queued.size} steps wait, " +
                "${drain.hosts} hosts and ${cores.toLong()} cores drain, " +
                "${(drain.lateShare * PERCENT).toInt()}% of it for late steps"
        }
        return retryMs
    }

    /** Whether workers and a host for a call about the step are free now. */
    private fun startsAtOnce(step: ReadyStep, nowMs: Long): Boolean {
        val terms = step.job.terms
        val hosts = context.dependencies.adviceHosts().size
        val hasHost = terms.advice == null || context.advice.callsInFlight < hosts
        if (!hasHost) return false
        val slots = context.links.values
            .filter { it.worker.service == terms.service && it.isUsable(nowMs) }
            .sumOf { it.worker.slots(step.spec, it.free) }
        return slots >= step.spec.taskCount
    }

    private fun record(
        pass: Pass,
        accepted: StagedEvent.JobAccepted,
        reason: RefusalReason,
        retryMs: Long,
        inputs: () -> String
    ) {
        val owner = accepted.owner?.customerId?.value
        context.dependencies.meters.recordRefusal(reason, owner)
        context.decisions.line(pass.nowMs, accepted.spec.jobId) {
            val customer = owner?.let { " of customer $it" }.orEmpty()
            "refuses a job of queue ${accepted.terms.name}$customer, " +
                "${reason.name.lowercase()}: ${inputs()}; retry after $retryMs ms"
        }
    }

    /** Records an accepted job, which goes before the jobs that are submitted later. */
    fun accepted(state: StagedState, event: StagedEvent.JobAccepted, nowMs: Long) {
        val job = state.active[event.spec.jobId] ?: return
        val isUnbounded = event.spec.schedule != null || event.spec.steps.any { it.longRunning }
        if (!isUnbounded) {
            val terms = event.terms
            context.drain.accepted(event.spec, terms.service, terms.advice, nowMs)
        }
        if (queuedAtMs != nowMs) return
        val inputs = inputs(state, nowMs)
        queued = (queued + readySteps(job).map { it.queued(inputs) }).sortedBy { it.rank }
    }

    fun runEnded(
        state: StagedState,
        event: StagedEvent.RunEnded,
        placed: RunPlacement?,
        nowMs: Long
    ) {
        if (event.result != RunResult.SUCCEEDED || placed?.run != event.run) return
        val job = state.job(event.taskId.stepId.jobId) ?: return
        val spec = job.spec.steps.getOrNull(event.taskId.stepId.step) ?: return
        context.drain.runSucceeded(job.terms.name, spec, nowMs - placed.placedAtMs)
    }

    private fun inputs(state: StagedState, nowMs: Long) =
        OrderInputs(nowMs, hasCustomers = state.contracts.isNotEmpty())

    private fun ReadyStep.queued(inputs: OrderInputs): QueuedStep {
        val terms = job.terms
        val calls = context.advice.callsMade(id)
        return QueuedStep(
            order(this, inputs),
            latestStartMs,
            worthlessAfterMs,
            terms.name,
            terms.service,
            context.drain.demandOf(terms.name, spec, waiting.size, terms.advice, calls),
            terms.advice?.let(::callLength),
            job.beyondRate
        )
    }

    private companion object {
        const val MILLIS_PER_CORE = 1_000
        const val PERCENT = 100
    }
}

/** The steps that a job begins with. */
private fun firstSteps(accepted: StagedEvent.JobAccepted, nowMs: Long): List<ReadyStep> {
    val steps = accepted.spec.steps.map { StageStep(List(it.taskCount) { StageTask() }) }
    val job = StagedJob(
        accepted.spec,
        accepted.terms,
        nowMs,
        occurrences = listOf(Occurrence(0, steps)),
        beyondRate = accepted.beyondRate
    )
    return readySteps(job)
}

private fun PushWorker.slots(spec: StepSpec, free: Resources): Int {
    val worker = AvailableWorker(workerId, rack, labels, free)
    return if (worker.hasLabelFor(spec)) worker.slots(spec).coerceAtMost(spec.taskCount) else 0
}

/** Whether all tasks of the step fit on the workers at a time, if nothing else runs there. */
private fun List<PushWorker>.haveSlotsWhenEmpty(spec: StepSpec): Boolean {
    var left = spec.taskCount
    return any {
        left -= it.slots(spec, Resources(it.cpuMillis, it.memoryMib, it.accelerators))
        left <= 0
    }
}

/**
 * When a worker of each service last joined or left. After an outage workers register one by one,
 * and the first of them are not all there are.
 */
private class WorkerJoins(private val beganMs: Long) {
    private val known = HashMap<String, Set<String>>()
    private val joinedMs = HashMap<String, Long>()

    /** Whether all workers of the service can be assumed to have registered. */
    fun areKnown(service: String, workers: List<PushWorker>, nowMs: Long): Boolean {
        val ids = workers.mapTo(HashSet()) { it.workerId }
        // Workers that left may come back one by one as well.
        if (known.put(service, ids) != ids) joinedMs[service] = nowMs
        val sinceMs = nowMs - maxOf(joinedMs[service] ?: beganMs, beganMs)
        return workers.isNotEmpty() && sinceMs >= QUIET_MS
    }

    private companion object {
        /** Workers register again about once a second. */
        const val QUIET_MS = 5_000L
    }
}
