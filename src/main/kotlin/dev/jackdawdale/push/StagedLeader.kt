package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.JobOutcome
import dev.jackdawdale.staged.PlacedTask
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.counted
import dev.jackdawdale.staged.held
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.task
import dev.jackdawdale.telemetry.DecisionLog
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")
private val decisions = DecisionLog(log)

/**
 * What the leader needs of its surroundings. All but [submit] are called on the control thread.
 *
 * @property submit decides an action in the next pass while this replica leads; any thread
 * @property quorumHeardMs when a quorum was heard last
 * @property callingHosts entry hosts that can ask the adviser
 */
internal class LeaderSurroundings(
    val calls: WorkerCalls,
    val submit: (action: (Pass) -> Unit) -> Unit,
    val quorumHeardMs: () -> Long,
    val clock: () -> Long,
    val callingHosts: () -> Set<HostId>,
    val askAdvice: (AdviceCall) -> Boolean
)

/**
 * Runs staged jobs while this replica leads: places tasks, gives orders to workers, settles what
 * became of them. Used on the control thread only; what leaves the process waits until the events
 * before it are durable.
 */
internal class StagedLeader(
    private val term: Long,
    state: StagedState,
    private val settings: PushSettings,
    private val around: LeaderSurroundings,
    nowMs: Long
) {
    private val links = HashMap<String, WorkerLink>()
    private val ready = HashMap<String, List<ReadyStep>>()
    private val desk = AdviceDesk(around.askAdvice)
    private val notBeforeMs = HashMap<String, Long>()
    private var forgetDueMs = nowMs + FORGET_EVERY_MS
    private var moveDueMs = nowMs
    private var reportsAsked = 0
    private var reportsWithEnds = 0

    init {
        val lapsedMs = nowMs + settings.lapseMs
        state.workers.values.forEach { links[it.workerId] = WorkerLink(it, lapsedMs, nowMs) }
        for (job in state.active.values) {
            job.held().forEach { (taskId, placement) ->
                val spec = job.spec.steps[taskId.stepId.step]
                val run = HeldRun(
                    taskId,
                    placement,
                    spec.counted,
                    StartState.Inherited,
                    progressMs = nowMs,
                    resumed = true
                )
                linkFor(placement, lapsedMs, nowMs)?.hold(run)
            }
            ready[job.spec.jobId] = readySteps(job)
        }
    }

    /** Placements on workers that are gone are settled when their worker's link is made. */
    private fun linkFor(placement: RunPlacement, lapsedMs: Long, nowMs: Long): WorkerLink? =
        links[placement.workerId] ?: run {
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
            WorkerLink(gone, lapsedMs, nowMs).also { links[placement.workerId] = it }
        }

    // Events

    /** Makes [event] part of the pass and keeps the indexes of this leader in step. */
    fun emit(pass: Pass, event: StagedEvent) {
        val jobId = (event as? StagedEvent.RunEnded)?.taskId?.stepId?.jobId
        val before = jobId?.let { pass.state.staged.job(it)?.outcome }
        pass.emit(Event.Staged(event))
        if (event is StagedEvent.RunEnded) logEnd(pass, event, before)
        when (event) {
            is StagedEvent.JobAccepted -> refresh(pass, event.spec.jobId)
            is StagedEvent.OccurrenceBegun -> refresh(pass, event.jobId)
            is StagedEvent.JobCancelled -> {
                refresh(pass, event.jobId)
                stopUnwanted(pass, event.jobId)
            }
            is StagedEvent.TasksPlaced -> refresh(pass, event.stepId.jobId)
            is StagedEvent.RunEnded -> {
                links.values.forEach { link ->
                    link.runOf(event.taskId, event.run)?.let { link.release(it.taskId) }
                }
                refresh(pass, event.taskId.stepId.jobId)
                stopUnwanted(pass, event.taskId.stepId.jobId)
            }
            else -> Unit
        }
    }

    private fun logEnd(pass: Pass, event: StagedEvent.RunEnded, outcomeBefore: JobOutcome?) {
        val jobId = event.taskId.stepId.jobId
        decisions.line(pass.nowMs, jobId) { "run ${event.run} of ${event.taskId}: ${event.result}" }
        val job = pass.state.staged.job(jobId) ?: return
        if (job.outcome != null && outcomeBefore == null) {
            val tookMs = pass.nowMs - job.acceptedAtMs
            decisions.line(pass.nowMs, jobId) { "job ends ${job.outcome} $tookMs ms after accept" }
        }
    }

    private fun refresh(pass: Pass, jobId: String) {
        val job = pass.state.staged.active[jobId]
        val steps = job?.let(::readySteps).orEmpty()
        val before = ready[jobId].orEmpty()
        before.filter { old -> steps.none { it.id == old.id } && old.isOver(pass) }
            .forEach { desk.forget(it.id) }
        if (steps.isEmpty()) ready.remove(jobId) else ready[jobId] = steps
    }

    private fun ReadyStep.isOver(pass: Pass): Boolean =
        pass.state.staged.active[id.jobId]?.outcome != null ||
            pass.state.staged.active[id.jobId] == null

    /** Stops the runs of a job that ended, and those of a gang that lost a member. */
    private fun stopUnwanted(pass: Pass, jobId: String) {
        val job = pass.state.staged.job(jobId) ?: return
        for ((taskId, placement) in job.held()) {
            val task = pass.state.staged.task(taskId) ?: continue
            val step = job.occurrences.first { it.number == taskId.stepId.occurrence }
                .steps[taskId.stepId.step]
            val isBroken = job.spec.steps[taskId.stepId.step].gang &&
                !task.succeeded &&
                step.tasks.any { it.placement?.run != placement.run }
            val isOver = job.outcome != null && !task.succeeded
            if (isBroken || isOver) wantStop(taskId, placement)
        }
    }

    private fun wantStop(taskId: StageTaskId, placement: RunPlacement) {
        val link = links[placement.workerId] ?: return
        val run = link.runOf(taskId, placement.run) ?: return
        if (!run.stopWanted) link.update(run.copy(stopWanted = true))
    }

    // Workers

    /** A worker's report of itself; [onDurable] runs once what it says is durable. */
    fun workerReported(pass: Pass, report: WorkerReport, onDurable: () -> Unit) {
        val worker = report.worker
        val link = links[worker.workerId]
        val known = link?.worker
        val nowMs = pass.nowMs
        when {
            isOvertaken(worker) -> Unit
            known == null -> join(pass, report)
            worker.boot < known.boot -> Unit
            worker.boot > known.boot -> {
                loseWorker(pass, link, "a new boot ${worker.boot} reported itself")
                join(pass, report)
            }
            report.sequence <= link.sequence -> Unit
            else -> {
                link.heardMs = nowMs
                link.sequence = report.sequence
                if (known != worker) {
                    link.worker = worker
                    emit(pass, StagedEvent.WorkerReported(worker))
                }
            }
        }
        pass.whenDurable(onDurable)
    }

    /** A process that started later holds the same address. */
    private fun isOvertaken(worker: PushWorker): Boolean = links.values.any {
        it.worker.address == worker.address && it.worker.boot > worker.boot
    }

    private fun join(pass: Pass, report: WorkerReport) {
        val worker = report.worker
        links.values.filter {
            it.worker.address == worker.address && it.worker.boot < worker.boot
        }.forEach { loseWorker(pass, it, "its address belongs to ${worker.workerId}") }
        val link = WorkerLink(worker, pass.nowMs + settings.lapseMs, pass.nowMs)
        link.sequence = report.sequence
        links[worker.workerId] = link
        emit(pass, StagedEvent.WorkerReported(worker))
        log.info("worker {} boot {} joins at {}", worker.workerId, worker.boot, worker.address)
    }

    /** A worker says goodbye; its runs are settled once it no longer answers. */
    fun workerLeaves(pass: Pass, workerId: String, onDurable: () -> Unit) {
        val link = links[workerId]
        if (link != null && !link.leaving) {
            link.leaving = true
            val draining = link.worker.copy(draining = true)
            if (link.worker != draining) {
                link.worker = draining
                emit(pass, StagedEvent.WorkerReported(draining))
            }
        }
        pass.whenDurable(onDurable)
    }

    /** Everything on the worker has ended. */
    private fun loseWorker(pass: Pass, link: WorkerLink, reason: String) {
        val worker = link.worker
        log.info(
            "worker {} boot {} is gone with {} runs: {}",
            worker.workerId,
            worker.boot,
            link.held.size,
            reason
        )
        interruptAll(pass, link)
        links.remove(worker.workerId, link)
        emit(pass, StagedEvent.WorkerLeft(worker.workerId, worker.boot))
    }

    private fun interruptAll(pass: Pass, link: WorkerLink) {
        link.held.values.toList().forEach { run ->
            val result = RunResult.INTERRUPTED
            emit(
                pass,
                StagedEvent.RunEnded(run.taskId, run.placement.run, result, run.checkpoint)
            )
        }
    }

    // Reports of runs

    private fun askReports(nowMs: Long) {
        if (!mayOrder(nowMs)) return
        links.values.filter {
            !it.reportInFlight && nowMs >= it.reportDueMs && it.worker.address.isNotEmpty()
        }.forEach { askReport(it, nowMs) }
    }

    private fun askReport(link: WorkerLink, nowMs: Long) {
        link.reportInFlight = true
        reportsAsked++
        // Without an answer to the last question the lease runs out, which settles what runs there.
        val leaseMs = link.workerTimeMs(nowMs)?.takeIf { link.reachable }
            ?.let { it + settings.leaseMs }
        if (leaseMs != null) {
            link.leasedUntilMs = maxOf(link.leasedUntilMs, nowMs + settings.lapseMs)
        }
        val waitMs = if (link.synced && link.reachable) settings.reportWaitMs else 0
        val question = ReportQuestion(term, leaseMs, link.acknowledgedEnd, waitMs)
        val worker = link.worker
        around.calls.report(worker, question) { result ->
            around.submit { pass -> reported(pass, link, worker, result, nowMs) }
        }
    }

    private fun reported(
        pass: Pass,
        link: WorkerLink,
        worker: PushWorker,
        result: ReportResult,
        askedAtMs: Long
    ) {
        if (links[worker.workerId] !== link) return
        link.reportInFlight = false
        when (result) {
            is ReportResult.Reported -> settle(pass, link, result.report, askedAtMs)
            ReportResult.OtherBoot -> loseWorker(pass, link, "another boot answers")
            is ReportResult.Failed -> {
                if (link.reachable) {
                    log.warn("worker {} did not report: {}", worker.workerId, result.reason)
                }
                link.reachable = false
                link.reportDueMs = pass.nowMs + settings.reportRetryMs
                if (link.leaving) loseWorker(pass, link, "it said goodbye and is silent")
            }
        }
    }

    private fun settle(pass: Pass, link: WorkerLink, report: RunReport, askedAtMs: Long) {
        val nowMs = pass.nowMs
        if (report.boot != null && report.boot != link.worker.boot) {
            return loseWorker(pass, link, "boot ${report.boot} answers")
        }
        link.readClock(report.clockMs, nowMs)
        link.reachable = true
        link.synced = true
        link.heardMs = nowMs
        link.reportedMs = nowMs
        if (report.ended.isNotEmpty()) reportsWithEnds++
        val settled = settleReport(link.held, report, askedAtMs, link.decidedEnd, nowMs)
        settled.held.values.forEach(link::update)
        settled.events.forEach { judge(link, it, nowMs) }
        settled.events.forEach { emit(pass, it) }
        settled.unwanted.forEach { stopListed(link, it) }
        link.decidedEnd = settled.lastEnd
        if (settled.lastEnd > link.acknowledgedEnd) {
            // Asked before that, the worker would list the same ends again.
            link.reportDueMs = nowMs + settings.reportRetryMs
            pass.whenDurable {
                link.acknowledgedEnd = settled.lastEnd
                link.reportDueMs = 0
                if (!link.reportInFlight) askReport(link, around.clock())
            }
        } else {
            link.reportDueMs = 0
        }
    }

    /** Keeps count of failures, to tell a bad worker from a bad job. */
    private fun judge(link: WorkerLink, event: StagedEvent.RunEnded, nowMs: Long) {
        when (event.result) {
            RunResult.FAILED -> {
                link.failuresInRow++
                if (link.failuresInRow >= SUSPECT_FAILURES) {
                    link.suspectUntilMs = nowMs + settings.suspectMs
                }
            }
            RunResult.SUCCEEDED -> {
                link.failuresInRow = 0
                link.suspectUntilMs = 0
            }
            else -> Unit
        }
    }

    private fun stopListed(link: WorkerLink, listed: ListedRun) {
        log.warn(
            "worker {} runs {} run {}, which was not placed there; it is stopped",
            link.worker.workerId,
            listed.taskId,
            listed.run
        )
        around.calls.stop(link.worker, listed.taskId, listed.run, term) {}
    }

    // Orders

    private fun mayOrder(nowMs: Long): Boolean =
        nowMs - around.quorumHeardMs() < settings.quorumFreshMs

    private fun sendStart(link: WorkerLink, taskId: StageTaskId, number: Int, order: StartDraft) {
        val run = link.runOf(taskId, number) ?: return
        val nowMs = around.clock()
        val workerMs = link.workerTimeMs(nowMs)
        if (workerMs == null || run.stopWanted || !mayOrder(nowMs)) {
            if (run.start == StartState.Unsent) settleUnsent(taskId, number)
            return
        }
        val validUntilMs = workerMs + settings.startValidMs
        link.leasedUntilMs = maxOf(link.leasedUntilMs, nowMs + settings.lapseMs)
        link.update(run.copy(start = StartState.Sent(validUntilMs)))
        val start = StartOrder(
            taskId,
            number,
            order.payload,
            validUntilMs,
            term,
            order.checkpoint,
            order.ticket
        )
        around.calls.start(link.worker, start) { result ->
            around.submit { pass -> startAnswered(pass, link, start, order, result) }
        }
    }

    private fun settleUnsent(taskId: StageTaskId, number: Int) {
        around.submit { pass ->
            emit(pass, StagedEvent.RunEnded(taskId, number, RunResult.NEVER_RAN))
        }
    }

    private fun startAnswered(
        pass: Pass,
        link: WorkerLink,
        start: StartOrder,
        order: StartDraft,
        result: StartResult
    ) {
        val run = link.runOf(start.taskId, start.run) ?: return
        when (result) {
            StartResult.Started ->
                if (run.start is StartState.Sent) {
                    link.update(run.copy(start = StartState.Confirmed(pass.nowMs)))
                }
            is StartResult.Refused -> refused(pass, link, start, result.refusal)
            StartResult.NotSent -> {
                link.reachable = false
                // An earlier try of the same order may have been sent.
                if (order.tries == 1) neverRan(pass, start) else wantStop(start.taskId, run.placement)
            }
            StartResult.OtherBoot -> loseWorker(pass, link, "another boot refused an order")
            is StartResult.Unknown -> unanswered(link, start, order, result.reason)
        }
    }

    private fun refused(
        pass: Pass,
        link: WorkerLink,
        start: StartOrder,
        refusal: StartRefusal
    ) {
        log.warn(
            "worker {} refused {} run {}: {}",
            link.worker.workerId,
            start.taskId,
            start.run,
            refusal
        )
        when (refusal) {
            StartRefusal.NO_TICKET -> desk.dropTicket(start.taskId.stepId, link.worker.workerId)
            StartRefusal.UNHEALTHY -> link.suspectUntilMs = pass.nowMs + settings.suspectMs
            else -> Unit
        }
        notBeforeMs[start.taskId.stepId.jobId] = pass.nowMs + REFUSED_PAUSE_MS
        neverRan(pass, start)
    }

    private fun neverRan(pass: Pass, start: StartOrder) =
        emit(pass, StagedEvent.RunEnded(start.taskId, start.run, RunResult.NEVER_RAN))

    /** The same order is safe to repeat: the worker keeps one run of a number. */
    private fun unanswered(
        link: WorkerLink,
        start: StartOrder,
        order: StartDraft,
        reason: String
    ) {
        log.warn(
            "worker {} did not answer the start of {} run {} (try {}): {}",
            link.worker.workerId,
            start.taskId,
            start.run,
            order.tries,
            reason
        )
        val run = link.runOf(start.taskId, start.run) ?: return
        if (run.start is StartState.Confirmed) return
        if (order.tries >= MAX_START_TRIES) return wantStop(start.taskId, run.placement)
        sendStart(link, start.taskId, start.run, order.copy(tries = order.tries + 1))
    }

    private fun sendStops(nowMs: Long) {
        if (!mayOrder(nowMs)) return
        for (link in links.values) {
            val due = link.held.values.filter {
                it.stopWanted && it.start != StartState.Unsent && link.synced &&
                    nowMs - (it.stopSentMs ?: 0) >= settings.stopRetryMs
            }
            due.forEach { run ->
                link.update(run.copy(stopSentMs = nowMs))
                val number = run.placement.run
                around.calls.stop(link.worker, run.taskId, number, term) { result ->
                    around.submit { pass -> stopAnswered(pass, link, run.taskId, number, result) }
                }
            }
        }
    }

    private fun stopAnswered(
        pass: Pass,
        link: WorkerLink,
        taskId: StageTaskId,
        number: Int,
        result: StopResult
    ) {
        when (result) {
            StopResult.ACCEPTED -> link.runOf(taskId, number)?.let {
                link.update(it.copy(stopAnsweredMs = it.stopAnsweredMs ?: pass.nowMs))
            }
            StopResult.OTHER_BOOT -> loseWorker(pass, link, "another boot refused a stop")
            StopResult.UNKNOWN -> Unit
        }
    }

    // Due times

    /** Decides what is due in this pass. */
    fun decide(pass: Pass) {
        val nowMs = pass.nowMs
        lapse(pass)
        moveStuck(pass)
        beginOccurrences(pass)
        forget(pass)
        place(pass)
        sendStops(nowMs)
        askReports(nowMs)
    }

    private fun lapse(pass: Pass) {
        for (link in links.values.toList()) {
            if (pass.nowMs <= link.leasedUntilMs) continue
            if (link.held.isNotEmpty()) {
                log.warn(
                    "the lease of worker {} has lapsed with {} runs",
                    link.worker.workerId,
                    link.held.size
                )
                interruptAll(pass, link)
            }
            val silentMs = pass.nowMs - link.heardMs
            if (silentMs > settings.silentForgetMs || link.worker.address.isEmpty()) {
                loseWorker(pass, link, "silent for $silentMs ms")
            }
        }
    }

    private fun moveStuck(pass: Pass) {
        if (pass.nowMs < moveDueMs) return
        moveDueMs = pass.nowMs + MOVE_EVERY_MS
        for (link in links.values) {
            if (!link.reachable || pass.nowMs - link.reportedMs > settings.stalledMs) continue
            val progress = link.held.values.mapNotNull { progressOf(pass, link, it) }
            val moves = decideMoves(progress, settings.stalledMs, pass.nowMs)
            if (moves.suspect) link.suspectUntilMs = pass.nowMs + settings.suspectMs
            for (taskId in moves.runs) {
                val run = link.held.getValue(taskId)
                decisions.line(pass.nowMs, taskId.stepId.jobId) {
                    "moves run ${run.placement.run} of $taskId from ${link.worker.workerId}, " +
                        "${run.percent}% after ${pass.nowMs - run.placement.placedAtMs} ms"
                }
                link.update(run.copy(stopWanted = true))
            }
        }
    }

    private fun progressOf(pass: Pass, link: WorkerLink, run: HeldRun): RunProgress? {
        val job = pass.state.staged.job(run.taskId.stepId.jobId) ?: return null
        val spec = job.spec.steps.getOrNull(run.taskId.stepId.step) ?: return null
        val isOver = pass.state.staged.task(run.taskId)?.succeeded ?: true
        val started = run.start as? StartState.Confirmed
        if (isOver || run.stopWanted || spec.longRunning || started == null) return null
        return RunProgress(
            run.taskId,
            spec.estimatedMs.takeIf { it > 0 },
            run.percent,
            resumed = run.resumed,
            gang = spec.gang,
            checkpoints = spec.checkpoints,
            sinceMs = started.atMs,
            progressMs = run.progressMs,
            asOfMs = link.reportedMs
        )
    }

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
        log.info(
            "{} reports asked, {} with ends, {} jobs active, {} steps waiting",
            reportsAsked,
            reportsWithEnds,
            pass.state.staged.active.size,
            ready.values.sumOf { it.size }
        )
        reportsAsked = 0
        reportsWithEnds = 0
        notBeforeMs.values.removeIf { it < pass.nowMs }
        val beforeMs = pass.nowMs - settings.endedKeepMs
        val oldest = pass.state.staged.ended.values.firstOrNull()?.endedAtMs ?: return
        if (oldest < beforeMs) emit(pass, StagedEvent.JobsForgotten(beforeMs))
    }

    // Placement

    private fun place(pass: Pass) {
        val nowMs = pass.nowMs
        val waiting = ready.values.flatten()
            .filter { (notBeforeMs[it.id.jobId] ?: 0) <= nowMs }
            .sortedBy { it.rank(nowMs) }
        desk.beginPass()
        val reserved = Reserved()
        for (step in waiting) place(pass, step, reserved)
        desk.dispatch(around.callingHosts(), nowMs)
    }

    private fun place(pass: Pass, step: ReadyStep, reserved: Reserved) {
        val nowMs = pass.nowMs
        val usable = links.values.filter {
            it.worker.service == step.job.terms.service && it.isUsable(nowMs)
        }
        val terms = step.job.terms.advice
        if (terms != null && !desk.isAnswered(step.id)) return want(step, usable, nowMs)
        val allowed = usable.filter { terms == null || desk.allows(step.id, it.candidate) }
        val rooms = allowed.map { it.room(step, reserved, nowMs) }
        val tasks = step.waiting.map { WaitingTask(it, step.step.tasks[it].failedOn) }
        val chosen = chooseWorkers(step.spec, tasks, rooms)
        val unticketed = chosen.filterValues { !hasTicket(step, it, nowMs) }
        if (unticketed.isNotEmpty()) {
            want(step, unticketed.values.distinct().map(links::getValue), nowMs)
        } else if (chosen.size < tasks.size) {
            want(step, usable.filter { !desk.wasAsked(step.id, it.candidate) }, nowMs)
        }
        if (step.spec.gang) {
            if (chosen.isNotEmpty() && unticketed.isEmpty()) {
                commitPlacement(pass, step, chosen)
            } else if (chosen.isNotEmpty()) {
                reserved.add(chosen.values, step.spec.counted)
            } else if (step.latestStartMs - nowMs < RESERVE_BEFORE_MS) {
                val partial = fillWorkers(step.spec, tasks, rooms)
                reserved.add(partial.values, step.spec.counted)
            }
        } else {
            reserved.add(unticketed.values, step.spec.counted)
            val placed = chosen - unticketed.keys
            if (placed.isNotEmpty()) commitPlacement(pass, step, placed)
        }
    }

    private fun want(step: ReadyStep, workers: List<WorkerLink>, nowMs: Long) {
        val terms = step.job.terms.advice ?: return
        desk.want(step.id, terms, workers.map { it.candidate }, step.rank(nowMs), nowMs)
    }

    private fun hasTicket(step: ReadyStep, workerId: String, nowMs: Long): Boolean {
        if (step.job.terms.advice == null) return true
        val boot = links.getValue(workerId).worker.boot
        return desk.ticket(step.id, workerId, boot, nowMs + TICKET_MARGIN_MS) != null
    }

    private val WorkerLink.candidate: Candidate get() = Candidate(worker.workerId, worker.boot)

    private fun WorkerLink.room(step: ReadyStep, reserved: Reserved, nowMs: Long) = WorkerRoom(
        workerId = worker.workerId,
        rack = worker.labels.getOrElse(1) { "" },
        labels = worker.labels,
        free = free - reserved.of(worker.workerId),
        suspect = suspectUntilMs > nowMs,
        ofStep = if (step.spec.maxPerWorker > 0) countOf(step.id) else 0
    )

    private fun commitPlacement(pass: Pass, step: ReadyStep, chosen: Map<Int, String>) {
        val job = step.job
        val run = step.step.tasks.maxOf { it.lastRun } + 1
        val placed = chosen.map { (index, workerId) ->
            PlacedTask(index, workerId, links.getValue(workerId).worker.boot)
        }
        emit(pass, StagedEvent.TasksPlaced(step.id, run, term, placed))
        decisions.line(pass.nowMs, job.spec.jobId) {
            val leftMs = step.latestStartMs - pass.nowMs
            "places step ${step.id.step} run $run term $term on $chosen, $leftMs ms before late"
        }
        for ((index, workerId) in chosen) {
            val link = links.getValue(workerId)
            val taskId = StageTaskId(step.id, index)
            val placement = RunPlacement(workerId, link.worker.boot, run, term, pass.nowMs)
            link.hold(
                HeldRun(
                    taskId,
                    placement,
                    step.spec.counted,
                    StartState.Unsent,
                    resumed = step.step.tasks[index].checkpoint.isNotEmpty()
                )
            )
            val ticket = desk.ticket(step.id, workerId, link.worker.boot, pass.nowMs)
            val order = StartDraft(
                job.spec.payload,
                step.step.tasks[index].checkpoint,
                ticket?.text.orEmpty()
            )
            pass.whenDurable { sendStart(link, taskId, run, order) }
        }
    }

    fun adviceAnswered(pass: Pass, hostId: HostId, callId: Long, result: AdviceResult) {
        if (result !is AdviceResult.Given) log.warn("advice call {} at {}: {}", callId, hostId, result)
        val call = desk.answered(hostId, callId, result, pass.nowMs) ?: return
        decisions.line(pass.nowMs, call.stepId.jobId) {
            val given = (result as? AdviceResult.Given)?.tickets?.size ?: 0
            val tookMs = pass.nowMs - call.sentAtMs
            "advice for step ${call.stepId.step}: $given of ${call.asked.size} workers, $tookMs ms"
        }
    }

    private companion object {
        const val FORGET_EVERY_MS = 5_000L
        const val MOVE_EVERY_MS = 200L
        const val REFUSED_PAUSE_MS = 50L
        const val TICKET_MARGIN_MS = 150L
        const val MAX_START_TRIES = 3
        const val SUSPECT_FAILURES = 2

        /** A gang without room reserves what it can get this long before it would be late. */
        const val RESERVE_BEFORE_MS = 4_000L
    }
}

/** Room that steps of higher rank keep for themselves within one pass. */
private class Reserved {
    private val byWorker = HashMap<String, Resources>()

    fun of(workerId: String): Resources = byWorker[workerId] ?: Resources()

    fun add(workerIds: Collection<String>, each: Resources) = workerIds.forEach {
        byWorker[it] = of(it) + each
    }
}

/** What a start order carries besides its run. */
private data class StartDraft(
    val payload: String,
    val checkpoint: String,
    val ticket: String,
    val tries: Int = 1
)

/**
 * A worker's report of itself.
 *
 * @property sequence rises with each report of the same boot
 */
internal data class WorkerReport(val worker: PushWorker, val sequence: Long)
