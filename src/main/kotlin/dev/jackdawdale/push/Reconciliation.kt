package dev.jackdawdale.push

import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent

/**
 * Result of comparing a worker's report with the runs placed on it.
 *
 * @property held the runs that still occupy capacity
 * @property events ended runs; must be durable before the ends are acknowledged
 * @property unexpected listed runs that are not placed there
 * @property unexpectedSuccesses listed ends as done of runs that are not placed there
 * @property lastEnd highest number of a listed end
 */
internal data class Reconciliation(
    val held: Map<StageTaskId, HeldRun>,
    val events: List<StagedEvent.RunEnded>,
    val unexpected: List<ListedRun>,
    val unexpectedSuccesses: List<EndedRun>,
    val lastEnd: Long
)

/**
 * Compares a worker's report with the runs placed on it.
 *
 * An order may get no answer and still take effect seconds later. So an unlisted run has ended only
 * when no order for it can take effect any more: the order has expired on the worker's clock, or
 * the worker accepted a stop or confirmed the run before the report was requested. Orders of
 * earlier leaders can't take effect once the worker has answered in the current term. While the
 * worker has more ends to list, an unlisted run may be among them.
 *
 * @param askedAtMs when the report was requested, on the clock of passes
 * @param lastEnd highest number of an end that was handled before
 */
internal fun reconcileReport(
    held: Map<StageTaskId, HeldRun>,
    report: RunReport,
    askedAtMs: Long,
    lastEnd: Long,
    nowMs: Long
): Reconciliation {
    val running = report.running.associateBy { it.taskId }
    val ends = report.ended.filter { it.number > lastEnd }
    val ended = ends.associateBy { it.taskId to it.run }
    val events = mutableListOf<StagedEvent.RunEnded>()
    val remaining = LinkedHashMap<StageTaskId, HeldRun>()
    for ((taskId, run) in held) {
        val number = run.placement.run
        val end = ended[taskId to number]
        val listed = running[taskId]?.takeIf { it.run == number }
        when {
            end != null && run.endsWith(end, nowMs) -> events += endOf(run, end)
            end != null -> remaining[taskId] = run.endedLater(end, nowMs)
            listed != null -> remaining[taskId] = run.confirmed(listed, nowMs)
            taskId in report.unclear -> remaining[taskId] = run
            !report.hasMoreEnds && run.cannotStart(report.clockMs, askedAtMs, nowMs) ->
                events += StagedEvent.RunEnded(taskId, number, run.resultUnlisted, run.checkpoint)
            else -> remaining[taskId] = run
        }
    }
    val unexpected = report.running.filter { held[it.taskId]?.placement?.run != it.run }
    val successes = ends.filter {
        it.end == ListedEnd.DONE && it.taskId != null && held[it.taskId]?.placement?.run != it.run
    }
    val highest = ends.maxOfOrNull { it.number } ?: lastEnd
    return Reconciliation(remaining, events, unexpected, successes, highest)
}

private val HeldRun.resultUnlisted: RunResult
    get() = when (start) {
        is StartState.Confirmed, is StartState.OfEarlierProcess -> resultLost
        else -> RunResult.NEVER_RAN
    }

/** Whether a listed end ends the run; an earlier process may have the same run. */
private fun HeldRun.endsWith(end: EndedRun, nowMs: Long): Boolean =
    start !is StartState.OfEarlierProcess || end.end == ListedEnd.DONE || nowMs > start.untilMs

private fun endOf(run: HeldRun, end: EndedRun) = StagedEvent.RunEnded(
    run.taskId,
    end.run,
    when (end.end) {
        ListedEnd.DONE -> RunResult.SUCCEEDED
        ListedEnd.FAILED -> RunResult.FAILED
        else -> RunResult.INTERRUPTED
    },
    end.checkpoint.ifEmpty { run.checkpoint }
)

/** The run after a later process has listed an end of it; the worker lists it only once. */
private fun HeldRun.endedLater(end: EndedRun, nowMs: Long): HeldRun {
    val started = started(nowMs)
    val start = started.start as? StartState.OfEarlierProcess ?: return started
    return started.copy(
        start = start.copy(hasFailed = start.hasFailed || end.end == ListedEnd.FAILED),
        checkpoint = end.checkpoint.ifEmpty { checkpoint }
    )
}

private fun HeldRun.started(nowMs: Long): HeldRun = copy(
    start = when (start) {
        is StartState.Confirmed -> start
        is StartState.OfEarlierProcess -> start.copy(hasStarted = true)
        else -> StartState.Confirmed(nowMs)
    }
)

private fun HeldRun.confirmed(listed: ListedRun, nowMs: Long): HeldRun = started(nowMs).copy(
    checkpoint = listed.checkpoint.ifEmpty { checkpoint },
    percent = listed.percent,
    progressMs = if (listed.percent != percent) nowMs else progressMs
)

private fun HeldRun.cannotStart(workerClockMs: Long, askedAtMs: Long, nowMs: Long): Boolean {
    val stopped = stopAcceptedMs?.let { askedAtMs >= it } ?: false
    return when (start) {
        StartState.Unsent -> false
        StartState.Inherited -> true
        is StartState.OfEarlierProcess -> stopped && nowMs > start.untilMs
        is StartState.Sent -> stopped || workerClockMs > start.expiresAtMs
        is StartState.Confirmed -> stopped || askedAtMs > start.atMs
    }
}
