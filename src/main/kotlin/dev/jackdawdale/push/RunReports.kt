package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.held
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/** Asks workers what they run, extends their leases and settles what they say. */
internal class RunReports(private val context: LeaderContext, private val members: WorkerMembers) {
    private var asked = 0
    private var withEnds = 0

    /** Writes how many reports were asked, and begins to count anew. */
    fun logCounts() {
        log.info("{} reports asked, {} with ends", asked, withEnds)
        asked = 0
        withEnds = 0
    }

    /** Asks the workers whose answer is due for their lists. */
    fun askReports(nowMs: Long) {
        if (!context.mayOrder()) return
        context.links.values.filter {
            !it.reportInFlight && nowMs >= it.reportDueMs && it.worker.address.isNotEmpty()
        }.forEach { askReport(it, nowMs) }
    }

    private fun askReport(link: WorkerLink, nowMs: Long) {
        link.reportInFlight = true
        asked++
        // Without an answer to the last question the lease runs out, which settles what runs there.
        val leaseMs = link.workerTimeMs(nowMs)?.takeIf { link.reachable }
            ?.let { it + context.settings.leaseMs }
        if (leaseMs != null) {
            link.leasedUntilMs = maxOf(link.leasedUntilMs, nowMs + context.settings.lapseMs)
        }
        val waitMs = context.timing.waitMs(link.synced && link.reachable, nowMs)
        val question = ReportQuestion(context.term, leaseMs, link.acknowledgedEnd, waitMs)
        val worker = link.worker
        context.around.calls.report(worker, question) { result ->
            context.submit { pass -> reported(pass, link, worker, result, nowMs) }
        }
    }

    private fun reported(
        pass: Pass,
        link: WorkerLink,
        worker: PushWorker,
        result: ReportResult,
        askedAtMs: Long
    ) {
        if (context.links[worker.workerId] !== link) return
        link.reportInFlight = false
        when (result) {
            is ReportResult.Reported -> settle(pass, link, result.report, askedAtMs)
            ReportResult.OtherBoot -> members.loseWorker(pass, link, "another boot answers")
            is ReportResult.Failed -> {
                if (link.reachable) {
                    log.warn("worker {} did not report: {}", worker.workerId, result.reason)
                    context.timing.callLost(pass.nowMs)
                }
                link.reachable = false
                link.reportFailures++
                link.reportDueMs = context.timing.retryDueMs(link.reportFailures, pass.nowMs)
                if (link.leaving) members.loseWorker(pass, link, "it said goodbye and is silent")
            }
        }
    }

    private fun settle(pass: Pass, link: WorkerLink, report: RunReport, askedAtMs: Long) {
        val nowMs = pass.nowMs
        if (report.boot != null && report.boot != link.worker.boot) {
            return members.loseWorker(pass, link, "boot ${report.boot} answers")
        }
        link.readClock(report.clockMs, nowMs)
        link.reachable = true
        link.reportFailures = 0
        link.synced = true
        link.heardMs = nowMs
        link.reportedMs = nowMs
        if (report.ended.isNotEmpty()) withEnds++
        val settled = settleReport(link.held, report, askedAtMs, link.decidedEnd, nowMs)
        settled.held.values.forEach(link::update)
        settled.events.forEach { judge(link, it, nowMs) }
        settled.events.forEach { context.emit(pass, it) }
        settled.unwanted.forEach { stopListed(link, it) }
        link.decidedEnd = settled.lastEnd
        if (settled.lastEnd > link.acknowledgedEnd) {
            // Asked before that, the worker would list the same ends again.
            link.reportDueMs = nowMs + context.settings.reportRetryMs
            pass.whenDurable {
                link.acknowledgedEnd = settled.lastEnd
                link.reportDueMs = 0
                if (!link.reportInFlight) askReport(link, context.nowMs())
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

    private fun stopListed(link: WorkerLink, listed: ListedRun) {
        log.warn(
            "worker {} runs {} run {}, which was not placed there; it is stopped",
            link.worker.workerId,
            listed.taskId,
            listed.run
        )
        context.around.calls.stop(link.worker, listed.taskId, listed.run, context.term) {}
    }

    /** Ends what runs on workers whose lease has lapsed. */
    fun lapse(pass: Pass) {
        for (link in context.links.values.toList()) {
            if (pass.nowMs <= link.leasedUntilMs) continue
            if (link.held.isNotEmpty()) {
                log.warn(
                    "the lease of worker {} has lapsed with {} runs",
                    link.worker.workerId,
                    link.held.size
                )
                members.interruptAll(pass, link)
            }
            val silentMs = pass.nowMs - link.heardMs
            if (silentMs > context.settings.silentForgetMs || link.worker.address.isEmpty()) {
                members.loseWorker(pass, link, "silent for $silentMs ms")
            }
        }
    }

    private companion object {
        const val SUSPECT_FAILURES = 2
    }
}
