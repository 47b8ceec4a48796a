package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.held
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/**
 * Gives the orders to start and stop runs.
 *
 * @param pauseJob places nothing of a job before a time
 */
internal class RunOrders(
    private val context: LeaderContext,
    private val members: WorkerMembers,
    private val pauseJob: (jobId: String, untilMs: Long) -> Unit
) {
    /** Sends the order for a run whose placement is durable. */
    fun sendStart(link: WorkerLink, taskId: StageTaskId, number: Int, order: StartDraft) {
        val run = link.runOf(taskId, number) ?: return
        val nowMs = context.nowMs()
        val workerMs = link.workerTimeMs(nowMs)
        if (workerMs == null || run.stopWanted || !context.mayOrder()) {
            if (run.start == StartState.Unsent) settleUnsent(taskId, number)
            return
        }
        val validUntilMs = workerMs + context.settings.startValidMs
        link.leasedUntilMs = maxOf(link.leasedUntilMs, nowMs + context.settings.lapseMs)
        link.update(run.copy(start = StartState.Sent(validUntilMs)))
        val start = StartOrder(
            taskId,
            number,
            order.payload,
            validUntilMs,
            context.term,
            order.checkpoint,
            order.ticket
        )
        context.around.calls.start(link.worker, start) { result ->
            context.submit { pass -> startAnswered(pass, link, start, order, result) }
        }
    }

    private fun settleUnsent(taskId: StageTaskId, number: Int) {
        context.submit { pass ->
            context.emit(pass, StagedEvent.RunEnded(taskId, number, RunResult.NEVER_RAN))
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
            is StartResult.Refused -> {
                refused(pass, link, start, result.refusal)
                if (order.tries > 1) {
                    settleRepeated(pass, link, run, result.refusal)
                } else {
                    neverRan(pass, start)
                }
            }
            StartResult.NotSent -> {
                link.reachable = false
                val mayHaveBeenSentBefore = order.tries > 1
                if (mayHaveBeenSentBefore) {
                    context.wantStop(start.taskId, run.placement)
                } else {
                    neverRan(pass, start)
                }
            }
            StartResult.OtherBoot -> members.loseWorker(pass, link, "another boot refused an order")
            is StartResult.Unknown -> unanswered(link, start, order, result.reason)
        }
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
            StartRefusal.NO_TICKET -> context.desk.dropTicket(
                start.taskId.stepId,
                link.worker.workerId
            )
            StartRefusal.UNHEALTHY -> link.suspectUntilMs = pass.nowMs + context.settings.suspectMs
            else -> Unit
        }
        pauseJob(start.taskId.stepId.jobId, pass.nowMs + REFUSED_PAUSE_MS)
    }

    /**
     * A repeated order was refused, and an earlier one without an answer may have had an effect.
     * Where no order can have one any more the worker's next lists settle the run, else a stop.
     */
    private fun settleRepeated(pass: Pass, link: WorkerLink, run: HeldRun, refusal: StartRefusal) {
        when (refusal) {
            StartRefusal.OLD_RUN, StartRefusal.TOO_LATE ->
                link.update(run.copy(stopAnsweredMs = run.stopAnsweredMs ?: pass.nowMs))
            else -> context.wantStop(run.taskId, run.placement)
        }
    }

    private fun neverRan(pass: Pass, start: StartOrder) =
        context.emit(pass, StagedEvent.RunEnded(start.taskId, start.run, RunResult.NEVER_RAN))

    /** The same order is safe to repeat: the worker keeps one run of a number. */
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
        val run = link.runOf(start.taskId, start.run) ?: return
        if (run.start is StartState.Confirmed) return
        if (order.tries >= MAX_START_TRIES) return context.wantStop(start.taskId, run.placement)
        sendStart(link, start.taskId, start.run, order.copy(tries = order.tries + 1))
    }

    /** Repeats the stops that are wanted until the worker lists the end. */
    fun sendStops(nowMs: Long) {
        if (!context.mayOrder()) return
        for (link in context.links.values) {
            val due = link.held.values.filter {
                it.stopWanted &&
                    it.start != StartState.Unsent &&
                    link.synced &&
                    nowMs - (it.stopSentMs ?: 0) >= context.settings.stopRetryMs
            }
            due.forEach { run ->
                link.update(run.copy(stopSentMs = nowMs))
                val number = run.placement.run
                context.around.calls.stop(link.worker, run.taskId, number, context.term) { result ->
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
                link.update(it.copy(stopAnsweredMs = it.stopAnsweredMs ?: pass.nowMs))
            }
            StopResult.OTHER_BOOT -> members.loseWorker(pass, link, "another boot refused a stop")
            StopResult.UNKNOWN -> Unit
        }
    }

    private companion object {
        const val REFUSED_PAUSE_MS = 50L
        const val MAX_START_TRIES = 3
    }
}

/** What a start order carries besides its run. */
internal data class StartDraft(
    val payload: String,
    val checkpoint: String,
    val ticket: String,
    val tries: Int = 1
)
