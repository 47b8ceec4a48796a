package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.isInUse
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/** Adds and removes the workers of a leader. */
internal class WorkerRegistry(private val context: LeaderContext) {
    private val leaves = mutableListOf<Leave>()

    /** Handles a worker's registration; [onDurable] runs once it is durable. */
    fun workerRegistered(pass: Pass, registration: WorkerRegistration, onDurable: () -> Unit) {
        val worker = registration.worker
        val link = context.links[worker.workerId]
        val known = link?.worker
        val nowMs = pass.nowMs
        val isOfService = worker.service == known?.service ||
            pass.state.staged.isInUse(worker.service)
        when {
            !isOfService -> context.decisions.line(nowMs, worker.workerId, minor = true) {
                "ignores a registration of the unknown service ${worker.service.take(MAX_LOGGED)}"
            }
            isTooFarAhead(worker.boot, nowMs) -> log.warn(
                "ignores a registration of {}, which would have started at {}",
                worker.workerId,
                worker.boot
            )
            known == null -> if (!isOutdated(worker)) {
                addLink(pass, worker).sequence = registration.sequence
            }
            worker.boot < known.boot -> Unit
            worker.boot > known.boot ->
                replaceProcess(pass, link, worker).sequence = registration.sequence
            registration.sequence <= link.sequence -> Unit
            else -> {
                link.heardMs = nowMs
                link.sequence = registration.sequence
                link.drainReported = worker.draining
                // A leave notice has no boot, so it may be a late one of an earlier process.
                if (!worker.draining) link.leaving = false
                if (known != worker) {
                    link.worker = worker
                    context.emit(pass, StagedEvent.WorkerRegistered(worker))
                }
            }
        }
        pass.whenDurable(onDurable)
    }

    /** Whether a start time is no worker's. It would outdate each true one of that id. */
    fun isTooFarAhead(boot: Long, nowMs: Long): Boolean = boot > nowMs + MAX_BOOT_AHEAD_MS

    /** Whether a process that started later has the address of this unknown one. */
    private fun isOutdated(worker: PushWorker): Boolean = context.links.values.any {
        it.worker.address == worker.address && it.worker.boot > worker.boot
    }

    private fun addLink(pass: Pass, worker: PushWorker): WorkerLink {
        val nowMs = pass.nowMs
        val leasedUntilMs = nowMs + context.settings.maxLeaseExpiryMs
        val link = WorkerLink(worker, context.fencingTokens.next(), leasedUntilMs, nowMs)
        context.links[worker.workerId] = link
        context.emit(pass, StagedEvent.WorkerRegistered(worker))
        log.info("worker {} boot {} joins at {}", worker.workerId, worker.boot, worker.address)
        return link
    }

    /**
     * Replaces the process of a worker by a later one under the same id, to which it also hands the
     * runs of the earlier one: they are stopped there, as an order for the earlier process may
     * still reach it, and end no sooner than the earlier process's lease.
     */
    fun replaceProcess(pass: Pass, link: WorkerLink, worker: PushWorker): WorkerLink {
        log.info(
            "worker {} boot {} is followed by boot {}, with {} runs, {} of them started",
            worker.workerId,
            link.worker.boot,
            worker.boot,
            link.held.size,
            link.held.values.count { it.hasStarted }
        )
        val (unsent, sent) = link.held.values.partition { it.start == StartState.Unsent }
        unsent.forEach { run ->
            val end =
                StagedEvent.RunEnded(run.taskId, run.placement.run, RunResult.NEVER_RAN)
            context.endRun(pass, end, EndEvidence.NOT_SENT)
        }
        val next = addLink(pass, worker)
        sent.forEach { next.hold(it.ofEarlierProcess(link.mayRunUntilMs(it))) }
        return next
    }

    /**
     * Handles an answer that another process gave at the worker's address. It doesn't show that
     * the worker's process has ended, so its runs remain until its lease expires.
     */
    fun anotherAnswered(pass: Pass, link: WorkerLink) {
        if (link.held.isEmpty()) return removeWorker(pass, link, "another process answers")
        if (link.reachable) {
            log.warn(
                "another process answers at {} for worker {} boot {}, which has {} runs until {}",
                link.worker.address,
                link.worker.workerId,
                link.worker.boot,
                link.held.size,
                link.leasedUntilMs
            )
        }
        link.reachable = false
    }

    /**
     * Handles a leave notice. The worker ends with the answer, and its runs with it, so that only
     * the lease would show their end: they are stopped before, which also saves checkpoints. A
     * worker that doesn't list the ends in time is answered anyway and keeps its runs.
     */
    fun workerLeaves(pass: Pass, workerId: String, onDurable: () -> Unit) {
        val link = context.links[workerId] ?: return pass.whenDurable(onDurable)
        if (!link.leaving) {
            link.leaving = true
            val draining = link.worker.copy(draining = true)
            if (link.worker != draining) {
                link.worker = draining
                context.emit(pass, StagedEvent.WorkerRegistered(draining))
            }
        }
        // A leave notice has no boot: that of an earlier process must not stop any runs.
        if (link.drainReported) {
            link.held.values.toList().forEach { link.update(it.copy(stopRequested = true)) }
        }
        leaves += Leave(link, pass.nowMs + LEAVE_ANSWER_MS, onDurable)
    }

    /** Answers the leave notices of workers on which nothing runs, and those that are due. */
    fun answerLeaves(pass: Pass) {
        val due = leaves.filter { leave ->
            leave.link.held.isEmpty() || !leave.link.drainReported || pass.nowMs >= leave.dueMs
        }
        due.forEach { pass.whenDurable(it.onDurable) }
        leaves -= due.toSet()
    }

    /** Removes a worker without runs. */
    fun removeWorker(pass: Pass, link: WorkerLink, reason: String) {
        val worker = link.worker
        log.info("worker {} boot {} is gone: {}", worker.workerId, worker.boot, reason)
        context.links.remove(worker.workerId, link)
        context.emit(pass, StagedEvent.WorkerLeft(worker.workerId, worker.boot))
    }

    /** Ends runs of a worker whose lease has expired. */
    fun endExpired(pass: Pass, runs: List<HeldRun>) {
        runs.forEach { run ->
            val number = run.placement.run
            val end = StagedEvent.RunEnded(run.taskId, number, run.resultLost, run.checkpoint)
            context.endRun(pass, end, EndEvidence.LEASE_EXPIRED)
        }
    }

    /** A leave notice that is not answered yet. */
    private class Leave(val link: WorkerLink, val dueMs: Long, val onDurable: () -> Unit)

    private companion object {
        /** A worker that gets no answer within a second asks another control host. */
        const val LEAVE_ANSWER_MS = 600L

        const val MAX_LOGGED = 100

        /** Clocks may differ by seconds. */
        const val MAX_BOOT_AHEAD_MS = 86_400_000L
    }
}
