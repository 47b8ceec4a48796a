package dev.jackdawdale.push

import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent

/**
 * What a worker's report settles.
 *
 * @property held the runs that still hold room
 * @property events ends to make durable before they are acknowledged
 * @property unwanted listed runs that nobody placed there
 * @property lastEnd greatest number of a listed end
 */
internal data class Settlement(
    val held: Map<StageTaskId, HeldRun>,
    val events: List<StagedEvent.RunEnded>,
    val unwanted: List<ListedRun>,
    val lastEnd: Long
)

/**
 * Compares a worker's lists with the runs placed on it.
 *
 * A run that is not listed has ended only when no order for it can take effect any more: the order
 * has expired on the worker's clock, a stop for the run was accepted before the lists were asked
 * for, or the run had been confirmed before that. An order of an earlier leader cannot take effect
 * once the worker has answered in the present term. While the worker has more ends to list, a run
 * that is not listed may be among them.
 *
 * Answers a load in which orders get no answer and are carried out seconds later.
 *
 * @param askedAtMs when the lists were asked for, on this host's clock
 */
internal fun settleReport(
    held: Map<StageTaskId, HeldRun>,
    report: RunReport,
    askedAtMs: Long,
    lastEnd: Long,
    nowMs: Long
): Settlement {
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
            end != null -> events += endOf(run, end)
            listed != null -> remaining[taskId] = run.confirmed(listed, nowMs)
            !report.hasMoreEnds && run.cannotStart(report.clockMs, askedAtMs) ->
                events += StagedEvent.RunEnded(taskId, number, run.resultUnlisted, run.checkpoint)
            else -> remaining[taskId] = run
        }
    }
    val unwanted = report.running.filter { held[it.taskId]?.placement?.run != it.run }
    return Settlement(remaining, events, unwanted, ends.maxOfOrNull { it.number } ?: lastEnd)
}

private val HeldRun.resultUnlisted: RunResult
    get() = if (start is StartState.Confirmed) RunResult.INTERRUPTED else RunResult.NEVER_RAN

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

private fun HeldRun.confirmed(listed: ListedRun, nowMs: Long): HeldRun = copy(
    start = start as? StartState.Confirmed ?: StartState.Confirmed(nowMs),
    checkpoint = listed.checkpoint.ifEmpty { checkpoint },
    percent = listed.percent,
    progressMs = if (listed.percent != percent) nowMs else progressMs
)

private fun HeldRun.cannotStart(workerClockMs: Long, askedAtMs: Long): Boolean {
    val stopped = stopAnsweredMs?.let { askedAtMs >= it } ?: false
    return when (start) {
        StartState.Unsent -> false
        StartState.Inherited -> true
        is StartState.Sent -> stopped || workerClockMs > start.expiresAtMs
        is StartState.Confirmed -> stopped || askedAtMs > start.atMs
    }
}
