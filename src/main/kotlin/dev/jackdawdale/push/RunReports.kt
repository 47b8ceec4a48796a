package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.task
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/** Requests reports from workers, extends their leases and applies the reports. */
internal class RunReports(
    private val context: LeaderContext,
    private val registry: WorkerRegistry
) {
    private var asked = 0
    private var withEnds = 0

    /** Logs and resets the counts of reports. */
    fun logCounts() {
        log.info("{} reports asked, {} with ends", asked, withEnds)
        asked = 0
        withEnds = 0
    }

    /** Requests the reports that are due. */
    fun askReports(nowMs: Long) {
        if (!context.maySendOrders()) return
        context.links.values.filter {
            !it.reportInFlight && nowMs >= it.reportDueMs && it.worker.address.isNotEmpty()
        }.forEach { askReport(it, nowMs) }
    }

    private fun askReport(link: WorkerLink, nowMs: Long) {
        link.reportInFlight = true
        asked++
        // The lease of an unreachable worker is left to expire, which ends its runs.
        val leaseMs = link.workerTimeMs(nowMs)?.takeIf { link.reachable }
            ?.let { it + context.settings.leaseMs }
        if (leaseMs != null) link.extendLease(context.settings, nowMs)
        val waitMs = context.timing.waitMs(link.synced && link.reachable, nowMs)
        val request = ReportRequest(link.fencingToken, leaseMs, link.unansweredEnd, waitMs)
        val worker = link.worker
        context.dependencies.calls.report(worker, request) { result ->
            context.submit { pass -> reported(pass, link, worker, request, result, nowMs) }
        }
    }

    private fun reported(
        pass: Pass,
        link: WorkerLink,
        worker: PushWorker,
        request: ReportRequest,
        result: ReportResult,
        askedAtMs: Long
    ) {
        if (context.links[worker.workerId] !== link) return
        link.reportInFlight = false
        when (result) {
            is ReportResult.Reported -> {
                val isOfProcess = isOfKnownProcess(pass, link, result.report.boot)
                if (isOfProcess) applyReport(pass, link, request, result.report, askedAtMs)
            }
            ReportResult.OtherBoot -> {
                retryReport(link, pass.nowMs)
                // The worker may have moved since the request.
                if (worker.address == link.worker.address) registry.anotherAnswered(pass, link)
            }
            is ReportResult.Failed -> {
                if (link.reachable) {
                    log.warn("worker {} did not report: {}", worker.workerId, result.reason)
                    context.timing.callLost(pass.nowMs)
                }
                link.reachable = false
                retryReport(link, pass.nowMs)
                if (link.leaving && link.held.isEmpty()) {
                    registry.removeWorker(pass, link, "left and does not answer")
                }
            }
        }
    }

    private fun retryReport(link: WorkerLink, nowMs: Long) {
        link.reportFailures++
        link.reportDueMs = context.timing.retryDueMs(link.reportFailures, nowMs)
    }

    /**
     * Whether the process that the worker is known by has answered. The answer of a later one is to
     * a call for the earlier one, so that one is asked again with its own token.
     */
    private fun isOfKnownProcess(pass: Pass, link: WorkerLink, answeredBoot: Long?): Boolean {
        val boot = answeredBoot ?: link.worker.boot
        val known = link.worker.boot
        if (boot < known || registry.isTooFarAhead(boot, pass.nowMs)) {
            retryReport(link, pass.nowMs)
            registry.anotherAnswered(pass, link)
        } else if (boot > known) {
            // Gets no runs before it registers with its own capacity.
            registry.replaceProcess(pass, link, link.worker.copy(boot = boot, draining = true))
        }
        return boot == known
    }

    private fun applyReport(
        pass: Pass,
        link: WorkerLink,
        request: ReportRequest,
        report: RunReport,
        askedAtMs: Long
    ) {
        val nowMs = pass.nowMs
        link.readClock(report.clockMs, nowMs)
        link.answered(context.settings, nowMs)
        link.discarded(request.acknowledgedEnd)
        if (report.ended.isNotEmpty()) withEnds++
        val reconciled = reconcileReport(link.held, report, askedAtMs, link.decidedEnd, nowMs)
        reconciled.held.values.forEach(link::update)
        reconciled.events.forEach { recordResult(link, it, nowMs) }
        reconciled.events.forEach { context.recordSpeed(pass, link, it) }
        reconciled.events.forEach { context.endRun(pass, it, EndEvidence.REPORTED) }
        reconciled.unexpected.forEach { stopUnexpected(link, it) }
        reconciled.unexpectedSuccesses.filter { isUnknown(pass, it) }
            .forEach { logUnexpectedSuccess(link, it) }
        link.decidedEnd = reconciled.lastEnd
        if (reconciled.lastEnd > link.acknowledgedEnd) {
            // Before the ends are durable and acknowledged, the worker would list them again.
            link.reportDueMs = nowMs + context.settings.reportRetryMs
            pass.whenDurable {
                link.acknowledgedEnd = reconciled.lastEnd
                link.reportDueMs = 0
                if (!link.reportInFlight) askReport(link, context.nowMs())
            }
        } else {
            link.reportDueMs = 0
        }
    }

    /** Marks a worker as suspect after several failed runs in a row; one may be the job's fault. */
    private fun recordResult(link: WorkerLink, event: StagedEvent.RunEnded, nowMs: Long) {
        when (event.result) {
            RunResult.FAILED -> {
                link.failuresInRow++
                if (link.failuresInRow >= SUSPECT_FAILURES) {
                    link.suspectUntilMs = nowMs + context.settings.suspectMs
                }
            }
            RunResult.SUCCEEDED -> {
                link.failuresInRow = 0
                link.suspectUntilMs = 0
            }
            else -> Unit
        }
    }

    private fun stopUnexpected(link: WorkerLink, listed: ListedRun) {
        log.warn(
            "worker {} runs {} run {}, which was not placed there; stopping it",
            link.worker.workerId,
            listed.taskId,
            listed.run
        )
        val token = link.fencingToken
        context.dependencies.calls.stop(link.worker, listed.taskId, listed.run, token) {}
    }

    /** A new leader sees ends again that an earlier one has recorded. */
    private fun isUnknown(pass: Pass, end: EndedRun): Boolean =
        end.taskId?.let { pass.state.staged.task(it) }?.succeeded == false

    /** A task whose run has succeeded unknown to the leader may have been started again. */
    private fun logUnexpectedSuccess(link: WorkerLink, end: EndedRun) = log.warn(
        "worker {} boot {} lists {} run {} as done, which is not placed there",
        link.worker.workerId,
        link.worker.boot,
        end.taskId,
        end.run
    )

    /** Ends the runs on workers whose lease has expired, and removes silent workers. */
    fun expireLeases(pass: Pass) {
        for (link in context.links.values.toList()) {
            if (pass.nowMs <= link.leasedUntilMs) continue
            val expired = link.held.values.filter { pass.nowMs > link.mayRunUntilMs(it) }
            if (expired.isNotEmpty()) {
                log.warn(
                    "the lease of worker {} boot {} has expired with {} runs, {} more may run on",
                    link.worker.workerId,
                    link.worker.boot,
                    expired.size,
                    link.held.size - expired.size
                )
                registry.endExpired(pass, expired)
            }
            if (link.held.isNotEmpty()) continue
            val silentMs = pass.nowMs - link.heardMs
            if (silentMs > context.settings.silentForgetMs || link.worker.address.isEmpty()) {
                registry.removeWorker(pass, link, "silent for $silentMs ms")
            }
        }
    }

    private companion object {
        const val SUSPECT_FAILURES = 2
    }
}
