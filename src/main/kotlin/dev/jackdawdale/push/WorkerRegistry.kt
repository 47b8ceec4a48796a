package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StagedEvent
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
        when {
            worker.boot > nowMs + MAX_BOOT_AHEAD_MS -> log.warn(
                "ignores a registration of {}, which would have started at {}",
                worker.workerId,
                worker.boot
            )
            isSuperseded(worker) -> Unit
            known == null -> join(pass, registration)
            worker.boot < known.boot -> Unit
            worker.boot > known.boot -> {
                removeWorker(pass, link, "a new boot ${worker.boot} reported itself")
                join(pass, registration)
            }
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

    /** Whether a process that started later has the same address. */
    private fun isSuperseded(worker: PushWorker): Boolean = context.links.values.any {
        it.worker.address == worker.address && it.worker.boot > worker.boot
    }

    private fun join(pass: Pass, registration: WorkerRegistration) {
        val worker = registration.worker
        context.links.values.filter {
            it.worker.address == worker.address && it.worker.boot < worker.boot
        }.forEach { removeWorker(pass, it, "its address belongs to ${worker.workerId}") }
        val link = WorkerLink(worker, pass.nowMs + context.settings.leaseExpiryMs, pass.nowMs)
        link.sequence = registration.sequence
        link.drainReported = worker.draining
        context.links[worker.workerId] = link
        context.emit(pass, StagedEvent.WorkerRegistered(worker))
        log.info("worker {} boot {} joins at {}", worker.workerId, worker.boot, worker.address)
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

    /** Removes a worker and ends the runs that it still has as interrupted. */
    fun removeWorker(pass: Pass, link: WorkerLink, reason: String) {
        val worker = link.worker
        log.info(
            "worker {} boot {} is gone with {} runs: {}",
            worker.workerId,
            worker.boot,
            link.held.size,
            reason
        )
        interruptAll(pass, link, EndEvidence.REPLACED)
        context.links.remove(worker.workerId, link)
        context.emit(pass, StagedEvent.WorkerLeft(worker.workerId, worker.boot))
    }

    /** Ends the runs of a worker on which nothing runs any more, as interrupted. */
    fun interruptAll(pass: Pass, link: WorkerLink, evidence: EndEvidence) {
        link.held.values.toList().forEach { run ->
            val number = run.placement.run
            val end =
                StagedEvent.RunEnded(run.taskId, number, RunResult.INTERRUPTED, run.checkpoint)
            context.endRun(pass, end, evidence)
        }
    }

    /** A leave notice that is not answered yet. */
    private class Leave(val link: WorkerLink, val dueMs: Long, val onDurable: () -> Unit)

    private companion object {
        /** A worker that gets no answer within a second asks another control host. */
        const val LEAVE_ANSWER_MS = 600L

        /** Clocks may differ by seconds. A later start would outdate each true one of that id. */
        const val MAX_BOOT_AHEAD_MS = 86_400_000L
    }
}
