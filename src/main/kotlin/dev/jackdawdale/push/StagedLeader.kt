package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.JobOutcome
import dev.jackdawdale.staged.JobOwner
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.placements
import dev.jackdawdale.staged.reservedPerTask
import dev.jackdawdale.staged.task
import dev.jackdawdale.telemetry.DecisionLog
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/**
 * Runs staged jobs while this replica leads: places tasks, sends orders to workers and records the
 * results. Used on the control thread only. Orders and replies are sent only after the events that
 * they depend on are durable.
 */
internal class StagedLeader(
    term: Long,
    state: StagedState,
    private val settings: PushSettings,
    dependencies: LeaderDependencies,
    decisions: DecisionLog,
    nowMs: Long,
    order: StepOrder = ::valueOrder
) {
    private val context =
        LeaderContext(term, settings, dependencies, decisions, nowMs, ::emit, ::endRun)
    private val links get() = context.links
    private val registry = WorkerRegistry(context)
    private val pauses = JobPauses()
    private val ledger = CustomerLedger(state)
    private val report = CustomerReport(ledger, dependencies.meters.customers)
    private val rates = CustomerRates(settings.rateWindowMs)
    private val orders = RunOrders(context, registry, pauses::pause)
    private val placement = StepPlacement(context, orders, pauses, ledger, report, order)
    private val reports = RunReports(context, registry)
    private val stuck = StuckRuns(context)
    private val starts = JobStarts(context)
    private val admission = JobAdmission(context, placement, order, nowMs)
    private var forgetDueMs = nowMs + FORGET_EVERY_MS

    init {
        // A worker may have taken calls for an earlier process, which this leader can't know of.
        val leasedUntilMs = nowMs + settings.maxLeaseExpiryMs
        state.workers.values.forEach { links[it.workerId] = inherit(it, leasedUntilMs, nowMs) }
        for (job in state.active.values) {
            job.placements().forEach { (taskId, placement) ->
                val spec = job.spec.steps[taskId.stepId.step]
                val run = HeldRun(
                    taskId,
                    placement,
                    spec.reservedPerTask,
                    StartState.Inherited,
                    progressMs = nowMs,
                    resumed = true,
                    estimatedMs = spec.estimatedMs,
                    // An earlier leader may have repeated it; a ticket is of one process only.
                    orderUnanswered = job.terms.advice == null
                )
                val link = linkFor(placement, leasedUntilMs, nowMs)
                val isOfProcess = link.worker.boot == placement.workerBoot
                link.hold(if (isOfProcess) run else run.ofEarlierProcess(leasedUntilMs))
            }
            starts.placed(job.spec.jobId)
            placement.refresh(state, job.spec.jobId)
            stopUnwanted(state, job.spec.jobId)
        }
    }

    /** The worker's state; a placeholder for a removed one, whose lease may not have expired. */
    private fun linkFor(placement: RunPlacement, leasedUntilMs: Long, nowMs: Long): WorkerLink =
        links.getOrPut(placement.workerId) {
            val gone = PushWorker(
                placement.workerId,
                placement.workerBoot,
                address = "",
                service = "",
                failureDomain = "",
                cpuMillis = 0,
                memoryMib = 0,
                accelerators = 0,
                labels = emptyList(),
                draining = true
            )
            inherit(gone, leasedUntilMs, nowMs)
        }

    private fun inherit(worker: PushWorker, leasedUntilMs: Long, nowMs: Long) =
        WorkerLink(worker, context.fencingTokens.inherited, leasedUntilMs, nowMs)

    /** Counts a job of [owner], and returns whether it is beyond the customer's rate. */
    fun isBeyondRate(pass: Pass, jobId: String, owner: JobOwner?): Boolean {
        val contract = owner?.let { pass.state.staged.contracts[it.customerId] } ?: return false
        if (!rates.isBeyond(contract, pass.nowMs)) return false
        context.decisions.line(pass.nowMs, jobId) {
            "is beyond the rate of customer ${contract.customerId}, " +
                "${contract.requestRatePerSec} jobs per second"
        }
        return true
    }

    /** Time after which the caller of a refused job may retry, or null when it is not refused. */
    fun refusal(pass: Pass, job: StagedEvent.JobAccepted): Long? = admission.refusal(pass, job)

    /** Adds [event] to the pass and updates the indexes of this leader. */
    fun emit(pass: Pass, event: StagedEvent) {
        val before = pass.state.staged
        pass.emit(Event.Staged(event))
        when (event) {
            is StagedEvent.JobAccepted -> {
                placement.refresh(pass.state.staged, event.spec.jobId)
                admission.accepted(pass.state.staged, event, pass.nowMs)
            }
            is StagedEvent.OccurrenceBegun -> placement.refresh(pass.state.staged, event.jobId)
            is StagedEvent.JobCancelled -> {
                placement.refresh(pass.state.staged, event.jobId)
                stopUnwanted(pass.state.staged, event.jobId)
            }
            is StagedEvent.TasksPlaced -> {
                ledger.changed(event.stepId, before, pass.state.staged)
                placement.refresh(pass.state.staged, event.stepId.jobId)
                starts.placed(event.stepId.jobId)
            }
            else -> Unit
        }
    }

    private fun endRun(pass: Pass, event: StagedEvent.RunEnded, evidence: EndEvidence) {
        val jobId = event.taskId.stepId.jobId
        val before = pass.state.staged
        val outcomeBefore = before.job(jobId)?.outcome
        val placed = before.task(event.taskId)?.placement
        pass.emit(Event.Staged(event))
        ledger.changed(event.taskId.stepId, before, pass.state.staged)
        logEnd(pass, event, evidence, outcomeBefore)
        val outcome = pass.state.staged.job(jobId)?.outcome
        if (outcome != null && outcomeBefore == null) {
            before.job(jobId)?.let { report.jobEnded(it, outcome, pass.nowMs) }
        }
        // The record of a job that this run ended has no steps any more.
        admission.runEnded(before, event, placed, pass.nowMs)
        context.failing.runEnded(before, event, placed, pass.nowMs)
        if (placed?.run == event.run) {
            links[placed.workerId]?.let { context.recordFreed(it, event.taskId, pass.nowMs) }
            links[placed.workerId]?.release(event.taskId)
        }
        placement.refresh(pass.state.staged, jobId)
        stopUnwanted(pass.state.staged, jobId)
    }

    private fun logEnd(
        pass: Pass,
        event: StagedEvent.RunEnded,
        evidence: EndEvidence,
        outcomeBefore: JobOutcome?
    ) {
        val jobId = event.taskId.stepId.jobId
        val minor = event.result == RunResult.SUCCEEDED
        context.decisions.line(pass.nowMs, jobId, minor) {
            "run ${event.run} of ${event.taskId}: ${event.result}, ${evidence.name.lowercase()}"
        }
        val job = pass.state.staged.job(jobId) ?: return
        if (job.outcome != null && outcomeBefore == null) {
            val tookMs = pass.nowMs - job.acceptedAtMs
            context.decisions.line(pass.nowMs, jobId) {
                "job ends ${job.outcome} $tookMs ms after accept"
            }
        }
    }

    /** Requests stops for the runs of an ended job, and of a gang that has lost a member. */
    private fun stopUnwanted(state: StagedState, jobId: String) {
        val job = state.job(jobId) ?: return
        for ((taskId, placement) in job.placements()) {
            val task = state.task(taskId) ?: continue
            val step = job.occurrences.first { it.number == taskId.stepId.occurrence }
                .steps[taskId.stepId.step]
            val isBroken = job.spec.steps[taskId.stepId.step].gang &&
                !task.succeeded &&
                step.tasks.any { it.placement?.run != placement.run }
            val hasEnded = job.outcome != null && !task.succeeded
            if (isBroken || hasEnded) context.requestStop(taskId, placement)
        }
    }

    /** Ends this leader's term; results of its calls are ignored from now on. */
    fun retire() = context.retire()

    /** Runs one pass. */
    fun decide(pass: Pass) {
        val startNanos = System.nanoTime()
        context.drain.passed(pass.nowMs)
        starts.record(pass)
        reports.expireLeases(pass)
        registry.answerLeaves(pass)
        stuck.moveStuck(pass)
        beginOccurrences(pass)
        forget(pass)
        val placeNanos = System.nanoTime()
        placement.place(pass)
        val ordersNanos = System.nanoTime()
        orders.sendStops(pass.nowMs)
        reports.askReports(pass.nowMs)
        val endNanos = System.nanoTime()
        if (endNanos - startNanos < SLOW_DECISION_NANOS) return
        log.warn(
            "deciding on {} waiting steps took {} ms: {} for placements, {} for orders",
            placement.waitingSteps,
            (endNanos - startNanos) / NANOS_PER_MS,
            (ordersNanos - placeNanos) / NANOS_PER_MS,
            (endNanos - ordersNanos) / NANOS_PER_MS
        )
    }

    /** Whether a run of the job has started. */
    fun hasBegun(job: StagedJob): Boolean = starts.hasBegun(job)

    fun workerRegistered(pass: Pass, registration: WorkerRegistration, onDurable: () -> Unit) =
        registry.workerRegistered(pass, registration, onDurable)

    fun workerLeaves(pass: Pass, workerId: String, onDurable: () -> Unit) =
        registry.workerLeaves(pass, workerId, onDurable)

    fun adviceAnswered(pass: Pass, hostId: HostId, callId: Long, result: AdviceResult) =
        placement.adviceAnswered(pass, hostId, callId, result)

    private fun beginOccurrences(pass: Pass) {
        for (job in pass.state.staged.active.values) {
            val schedule = job.spec.schedule ?: continue
            val next = job.occurrences.size
            val dueMs = schedule.firstAtMs + next * schedule.everyMs
            if (job.outcome == null && next < schedule.count && pass.nowMs >= dueMs) {
                emit(pass, StagedEvent.OccurrenceBegun(job.spec.jobId, next))
            }
        }
    }

    private fun forget(pass: Pass) {
        if (pass.nowMs < forgetDueMs) return
        forgetDueMs = pass.nowMs + FORGET_EVERY_MS
        reports.logCounts()
        logLoad(pass.state.staged.active.size)
        report.logLoad(pass.nowMs)
        val beforeMs = pass.nowMs - settings.endedKeepMs
        val oldest = pass.state.staged.ended.values.firstOrNull()?.endedAtMs ?: return
        if (oldest < beforeMs) emit(pass, StagedEvent.JobsForgotten(beforeMs))
    }

    private fun logLoad(active: Int) {
        val byReason = WaitReason.entries.joinToString {
            "${placement.waits.byReason[it] ?: 0} ${it.name.lowercase()}"
        }
        val advice = context.advice
        val hosts = context.dependencies.adviceHosts().size
        log.info(
            "$active jobs active, ${placement.waitingSteps} steps waiting ($byReason), " +
                "advice calls: ${advice.callsInFlight} under way, ${advice.callsDone} done, " +
                "$hosts hosts; ${context.dependencies.passDurations.describeAndReset()}"
        )
    }

    private companion object {
        const val FORGET_EVERY_MS = 5_000L
        const val NANOS_PER_MS = 1_000_000L

        /** A control thread that is busy for longer may lose leadership. */
        const val SLOW_DECISION_NANOS = 100 * NANOS_PER_MS
    }
}
