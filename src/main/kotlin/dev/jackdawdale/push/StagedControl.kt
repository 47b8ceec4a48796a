package dev.jackdawdale.push

import dev.jackdawdale.control.ControlExtension
import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.JobOutcome
import dev.jackdawdale.staged.JobOwner
import dev.jackdawdale.staged.JobProgress
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.QueueSpec
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StagedQuery
import dev.jackdawdale.staged.StagedReply
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.isAt
import dev.jackdawdale.staged.isRefusedAt
import dev.jackdawdale.staged.isValidJobId
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.problemOf
import dev.jackdawdale.telemetry.DecisionLog
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/** Enough for a usual prefix and the longest job id; callers choose the path. */
private const val MAX_LOGGED_CHARS = 200

/** Handles staged jobs on the control thread. */
internal class StagedControl(
    private val settings: PushSettings,
    private val dependencies: LeaderDependencies
) {
    /** Shared by all terms, as the limit of lines applies to the process. */
    private val decisions = DecisionLog(log)
    private var leader: StagedLeader? = null

    /** Time of the last pass; queries are answered outside of one. */
    private var passMs = 0L

    /** Callbacks of the control loop. */
    val extension = ControlExtension(
        becameLeader = ::becameLeader,
        lostLeadership = ::lostLeadership,
        decide = ::decide,
        handle = ::handle,
        answer = { state, query -> answer(state.staged, query) },
        adviceAnswered = ::adviceAnswered
    )

    private fun becameLeader(term: Long, state: CellState, nowMs: Long) {
        passMs = nowMs
        leader = StagedLeader(term, state.staged, settings, dependencies, decisions, nowMs)
    }

    private fun decide(pass: Pass) {
        passMs = pass.nowMs
        leader?.decide(pass)
    }

    private fun lostLeadership() {
        leader?.retire()
        leader = null
        dependencies.meters.setWaitingSteps(emptyMap())
        dependencies.meters.customers.set(emptyList())
        dependencies.meters.setHeldSteps(0)
    }

    private fun adviceAnswered(pass: Pass, hostId: HostId, callId: Long, result: AdviceResult) {
        leader?.adviceAnswered(pass, hostId, callId, result)
    }

    /**
     * Replaces the configuration if the version is higher than the current one; ignores others.
     * [onDurable] runs once the state that the answer reflects is durable.
     */
    fun configure(pass: Pass, configuration: QueueConfiguration, onDurable: () -> Unit) {
        val present = pass.state.staged.configuration?.version
        if (present == null || configuration.version > present) {
            log.info(
                "configuration {} replaces {}, customers: {}",
                configuration.version,
                present,
                configuration.customers?.size ?: "not configured"
            )
            leader?.emit(pass, StagedEvent.Configured(configuration))
        }
        pass.whenDurable(onDurable)
    }

    fun workerRegistered(pass: Pass, registration: WorkerRegistration, onDurable: () -> Unit) {
        leader?.workerRegistered(pass, registration, onDurable)
    }

    fun workerLeaves(pass: Pass, workerId: String, onDurable: () -> Unit) {
        leader?.workerLeaves(pass, workerId, onDurable)
    }

    private fun handle(pass: Pass, command: StagedCommand, reply: (StagedReply) -> Unit) {
        val leading = leader ?: return
        val staged = pass.state.staged
        val target = staged.targetOf(command.host, command.path)
        val submit = command as? StagedCommand.Submit
        val answer = when (val access = accessTo(staged, target, command.keyHash, submit)) {
            is CallAccess.Granted -> handle(pass, leading, target, command, access.owner)
            is CallAccess.Denied -> {
                val isCancelOfDropped = submit == null &&
                    access.reason == Denial.NO_QUEUE &&
                    staged.isRefusedAt(command.path)
                if (isCancelOfDropped) {
                    StagedReply.NoSuchJob
                } else {
                    denied(pass.nowMs, staged, command.path, access.reason)
                }
            }
        }
        pass.whenDurable { reply(answer) }
    }

    private fun handle(
        pass: Pass,
        leading: StagedLeader,
        target: CallTarget,
        command: StagedCommand,
        owner: JobOwner?
    ): StagedReply {
        val queue = target.queue
        val jobId = target.jobId
        return when {
            // A resend is answered by what became of it, whatever has been configured since.
            target.job != null -> when (command) {
                is StagedCommand.Submit -> repeated(pass, target.job)
                is StagedCommand.Cancel -> cancel(pass, leading, target.job.spec.jobId)
            }
            queue == null || jobId == null -> StagedReply.Malformed("the path names no job")
            !isValidJobId(jobId) ->
                StagedReply.Malformed("a job id has 1 to 128 letters, digits, _ or -")
            else -> when (command) {
                is StagedCommand.Submit -> submit(pass, leading, queue, jobId, command, owner)
                is StagedCommand.Cancel -> cancel(pass, leading, jobId)
            }
        }
    }

    private fun denied(nowMs: Long, state: StagedState, path: String, reason: Denial): StagedReply {
        dependencies.meters.recordDenied(reason)
        val shown = path.takeLast(MAX_LOGGED_CHARS)
        decisions.line(nowMs, shown.substringAfterLast('/'), minor = true) {
            val name = reason.name.lowercase()
            "denies a call for $shown: $name, configuration ${state.configuration?.version}"
        }
        return reason.reply
    }

    private fun submit(
        pass: Pass,
        leading: StagedLeader,
        queue: QueueSpec,
        jobId: String,
        command: StagedCommand.Submit,
        owner: JobOwner?
    ): StagedReply {
        val spec =
            StagedJobSpec(jobId, queue.name, command.payload, command.steps, command.schedule)
        problemOf(spec.steps, spec.schedule)?.let { return StagedReply.Malformed(it) }
        val isBeyondRate = leading.isBeyondRate(pass, jobId, owner)
        val accepted = StagedEvent.JobAccepted(spec, queue, owner, isBeyondRate)
        leading.refusal(pass, accepted)?.let { return StagedReply.Overloaded(it) }
        leading.emit(pass, accepted)
        decisions.line(pass.nowMs, jobId) {
            val version = pass.state.staged.configuration?.version
            val customer = owner?.let { " of customer ${it.customerId}" }.orEmpty()
            "accepts a job$customer of queue ${queue.name}, configuration $version, " +
                "${spec.steps.size} steps"
        }
        return StagedReply.Job(jobId, JobProgress.QUEUED)
    }

    private fun repeated(pass: Pass, known: StagedJob): StagedReply {
        val jobId = known.spec.jobId
        val progress = progressOf(known)
        decisions.line(pass.nowMs, jobId, minor = true) {
            "submitted again, $progress, accepted ${pass.nowMs - known.acceptedAtMs} ms ago"
        }
        return StagedReply.Job(jobId, progress)
    }

    private fun cancel(pass: Pass, leading: StagedLeader, jobId: String): StagedReply {
        val known = pass.state.staged.job(jobId)
        if (known?.outcome == null) leading.emit(pass, StagedEvent.JobCancelled(jobId))
        decisions.line(pass.nowMs, jobId) {
            "cancels a job: ${known?.let { progressOf(it) } ?: "not known"}"
        }
        val after = pass.state.staged.job(jobId) ?: return StagedReply.NoSuchJob
        return StagedReply.Job(jobId, progressOf(after))
    }

    private fun answer(state: StagedState, query: StagedQuery): StagedReply {
        val target = state.targetOf(query.host, query.path)
        val access = accessTo(state, target, query.keyHash)
        val queue = target.queue
        return when {
            access is CallAccess.Denied ->
                denied(passMs, state, query.path, access.reason)
            target.job != null ->
                StagedReply.Job(target.job.spec.jobId, progressOf(target.job))
            queue != null && target.jobId == null -> StagedReply.Pending(pendingJobs(state, queue))
            else -> StagedReply.NoSuchJob
        }
    }

    /** Queues may share a name; jobs of a queue keep its name when its address is changed. */
    private fun pendingJobs(state: StagedState, queue: QueueSpec): Int {
        val isOnlyOne = state.configuration?.queues.orEmpty().count { it.name == queue.name } <= 1
        return state.active.values.count { job ->
            job.spec.queue == queue.name &&
                (isOnlyOne || job.terms.isAt(queue)) &&
                progressOf(job) == JobProgress.QUEUED
        }
    }

    private fun progressOf(job: StagedJob): JobProgress = when (job.outcome) {
        JobOutcome.COMPLETED -> JobProgress.COMPLETED
        JobOutcome.FAILED -> JobProgress.FAILED
        JobOutcome.CANCELLED -> JobProgress.CANCELLED
        null -> {
            val hasBegun = leader?.hasBegun(job) ?: job.hasRun
            if (hasBegun) JobProgress.RUNNING else JobProgress.QUEUED
        }
    }
}
