package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/**
 * Sends the orders that start and stop runs.
 *
 * @param pauseJob delays further placements of a job until a time
 */
internal class RunOrders(
    private val context: LeaderContext,
    private val registry: WorkerRegistry,
    private val pauseJob: (jobId: String, untilMs: Long) -> Unit
) {
    /** Sends the start order for a run; its placement must be durable. */
    fun sendStart(link: WorkerLink, taskId: StageTaskId, number: Int, order: StartDraft) {
        // A later process must not get a repeated order for the one that it has replaced.
        if (context.links[link.worker.workerId] !== link) return
        val run = link.runOf(taskId, number) ?: return
        val nowMs = context.nowMs()
        val workerMs = link.workerTimeMs(nowMs)
        if (workerMs == null || run.stopRequested || !context.maySendOrders()) {
            if (run.start == StartState.Unsent) endUnsent(taskId, number)
            return
        }
        val validUntilMs = workerMs + context.settings.startValidMs
        link.extendLease(context.settings, nowMs)
        link.update(run.copy(start = StartState.Sent(validUntilMs)))
        val start = StartOrder(
            taskId,
            number,
            order.payload,
            validUntilMs,
            link.fencingToken,
            order.checkpoint,
            order.ticket
        )
        val clockMs = link.clockMs
        context.dependencies.calls.start(link.worker, start) { result ->
            val actual = if (result.isOfLaterProcess(clockMs)) StartResult.LaterProcess else result
            context.submit { pass -> startAnswered(pass, link, start, order, actual) }
        }
    }

    private fun endUnsent(taskId: StageTaskId, number: Int) {
        context.submit { pass ->
            val end = StagedEvent.RunEnded(taskId, number, RunResult.NEVER_RAN)
            context.endRun(pass, end, EndEvidence.NOT_SENT)
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
            is StartResult.Started ->
                if (run.start is StartState.Sent) {
                    link.update(run.copy(start = StartState.Confirmed(pass.nowMs)))
                }
            StartResult.LaterProcess -> startedByLater(pass, link, run)
            is StartResult.Refused -> {
                refused(pass, link, start, result.refusal)
                if (order.tries > 1) {
                    resolveRepeated(pass, link, run, result.refusal)
                } else {
                    endAsNeverRan(pass, start, EndEvidence.ORDER_REFUSED)
                }
            }
            StartResult.NotSent -> {
                link.reachable = false
                val mayHaveBeenSentBefore = order.tries > 1
                if (mayHaveBeenSentBefore) {
                    context.requestStop(start.taskId, run.placement)
                } else {
                    endAsNeverRan(pass, start, EndEvidence.NOT_SENT)
                }
            }
            StartResult.OtherBoot -> {
                registry.anotherAnswered(pass, link)
                if (order.tries == 1) endAsNeverRan(pass, start, EndEvidence.ORDER_REFUSED)
            }
            is StartResult.Unknown -> unanswered(link, start, order, result.reason)
        }
    }

    /** Another process has started the run; its own report decides what becomes of it. */
    private fun startedByLater(pass: Pass, link: WorkerLink, run: HeldRun) {
        log.warn(
            "a later process of worker {} than boot {} started {} run {}",
            link.worker.workerId,
            link.worker.boot,
            run.taskId,
            run.placement.run
        )
        link.update(run.copy(orderUnanswered = true))
        registry.anotherAnswered(pass, link)
    }

    private fun refused(pass: Pass, link: WorkerLink, start: StartOrder, refusal: StartRefusal) {
        log.warn(
            "worker {} refused {} run {}: {}",
            link.worker.workerId,
            start.taskId,
            start.run,
            refusal
        )
        when (refusal) {
            StartRefusal.NO_TICKET -> context.advice.dropTicket(
                start.taskId.stepId,
                link.worker.workerId
            )
            StartRefusal.UNHEALTHY -> link.suspectUntilMs = pass.nowMs + context.settings.suspectMs
            else -> Unit
        }
        pauseJob(start.taskId.stepId.jobId, pass.nowMs + REFUSED_PAUSE_MS)
    }

    /**
     * Handles the refusal of a repeated order, when an earlier try may have taken effect. If no try
     * can take effect any more, the worker's next report decides the run; else it is stopped.
     */
    private fun resolveRepeated(pass: Pass, link: WorkerLink, run: HeldRun, refusal: StartRefusal) {
        when (refusal) {
            StartRefusal.OLD_RUN, StartRefusal.TOO_LATE ->
                link.update(run.copy(stopAcceptedMs = run.stopAcceptedMs ?: pass.nowMs))
            else -> context.requestStop(run.taskId, run.placement)
        }
    }

    private fun endAsNeverRan(pass: Pass, start: StartOrder, evidence: EndEvidence) {
        val end = StagedEvent.RunEnded(start.taskId, start.run, RunResult.NEVER_RAN)
        context.endRun(pass, end, evidence)
    }

    /** Repeating an order is safe: the worker starts a run number only once. */
    private fun unanswered(link: WorkerLink, start: StartOrder, order: StartDraft, reason: String) {
        log.warn(
            "worker {} did not answer the start of {} run {} (try {}): {}",
            link.worker.workerId,
            start.taskId,
            start.run,
            order.tries,
            reason
        )
        context.timing.callLost(context.nowMs())
        val run = link.runOf(start.taskId, start.run)?.copy(orderUnanswered = true) ?: return
        link.update(run)
        if (run.start is StartState.Confirmed) return
        if (order.tries >= MAX_START_TRIES) return context.requestStop(start.taskId, run.placement)
        sendStart(link, start.taskId, start.run, order.copy(tries = order.tries + 1))
    }

    /** Sends the requested stops, again until the worker lists the end. */
    fun sendStops(nowMs: Long) {
        if (!context.maySendOrders()) return
        for (link in context.links.values) {
            val due = link.held.values.filter {
                it.stopRequested &&
                    it.start != StartState.Unsent &&
                    link.synced &&
                    nowMs - (it.stopSentMs ?: 0) >= context.settings.stopRetryMs
            }
            due.forEach { run ->
                link.update(run.copy(stopSentMs = nowMs))
                val number = run.placement.run
                context.dependencies.calls.stop(
                    link.worker,
                    run.taskId,
                    number,
                    link.fencingToken
                ) { result ->
                    context.submit { pass ->
                        stopAnswered(pass, link, run.taskId, number, result)
                    }
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
                link.update(it.copy(stopAcceptedMs = it.stopAcceptedMs ?: pass.nowMs))
            }
            StopResult.OTHER_BOOT -> registry.anotherAnswered(pass, link)
            StopResult.UNKNOWN -> Unit
        }
    }

    private companion object {
        const val REFUSED_PAUSE_MS = 50L
        const val MAX_START_TRIES = 3
    }
}

/** Contents of a start order besides its run; [tries] counts how often it was sent. */
internal data class StartDraft(
    val payload: String,
    val checkpoint: String,
    val ticket: String,
    val tries: Int = 1
)
