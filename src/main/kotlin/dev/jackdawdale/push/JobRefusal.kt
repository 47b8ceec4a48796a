package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.times
import dev.jackdawdale.staged.StepSpec

/** Why a job is refused. */
internal enum class RefusalReason {
    /** It would end after three times its objective. */
    TOO_LATE,

    /** Its customer is beyond its rate, and the job would end after its objective. */
    BEYOND_RATE,

    /** A gang of it needs more than its customer's ceiling. */
    ABOVE_CEILING,

    /** A gang of it needs more than all registered workers have. */
    ABOVE_WORKERS
}

/**
 * A step that waits, or the first step of a new job.
 *
 * @property rank order of service among the steps of one band, the lowest first
 * @property latestStartMs a start after this time makes the job late
 * @property worthlessAfterMs a start after this time is worth nothing to the caller
 * @property length length of a call about the step, or null when it needs no advice
 */
internal data class QueuedStep(
    val rank: Double,
    val latestStartMs: Long,
    val worthlessAfterMs: Long,
    val queue: String,
    val service: String,
    val demand: Demand,
    val length: CallLength? = null,
    val beyondRate: Boolean = false
)

/** Expected wait of a new job until its first start, and whether it can be of use after that. */
internal data class ExpectedStart(val waitMs: Double, val limitMs: Long, val reason: RefusalReason?)

/**
 * Decides whether a new job would start so late that it can't be useful, by the work that is served
 * before it and the measured [drain]. Answers bursts on a full cell, which leave a backlog that
 * grows faster than it drains.
 *
 * Steps are served in the order of the design page: those that can be on time, by rank; late ones;
 * those beyond their customer's rate. New jobs go before late ones: only a share of the drain is
 * left for these. Worthless steps are not counted.
 *
 * A job of a queue that has no late step is not refused: the estimate doesn't see that small steps
 * start in the gaps that larger ones leave.
 *
 * @param waiting the waiting steps, in the order of rank
 */
internal fun expectedStart(
    job: QueuedStep,
    waiting: List<QueuedStep>,
    drain: Drain,
    nowMs: Long
): ExpectedStart {
    val useful = waiting.filter { nowMs <= it.worthlessAfterMs }
    val (beyond, within) = useful.partition { it.beyondRate }
    val (late, onTime) = within.partition { nowMs > it.latestStartMs }
    val ahead = Backlog(job, drain).apply { onTime.filter { it.rank <= job.rank }.forEach(::add) }
    val before = Backlog(job, drain).apply { onTime.forEach(::add) }
    val leftOver = Backlog(job, drain)
    val spareMs = job.latestStartMs - nowMs
    if (job.beyondRate) {
        late.forEach(leftOver::add)
        beyond.filter { it.rank <= job.rank }.forEach(leftOver::add)
        val waitMs = before.waitMs() + leftOver.waitMs() / drain.lateShare
        val reason = RefusalReason.BEYOND_RATE.takeIf { isClearlyOver(waitMs, spareMs) }
        return ExpectedStart(waitMs, spareMs, reason)
    }
    val hasLateStep = late.any { it.queue == job.queue }
    if (!hasLateStep || !isClearlyOver(ahead.waitMs(), spareMs)) {
        return ExpectedStart(ahead.waitMs(), spareMs, null)
    }
    late.filter { it.latestStartMs <= job.latestStartMs }.forEach(leftOver::add)
    val waitMs = before.waitMs() + leftOver.waitMs() / drain.lateShare
    val limitMs = job.worthlessAfterMs - nowMs
    val reason = RefusalReason.TOO_LATE.takeIf { isClearlyOver(waitMs, limitMs) }
    return ExpectedStart(waitMs, limitMs, reason)
}

/**
 * Whether a wait exceeds its limit by more than the error of the estimate.
 *
 * A wait that a cell with free capacity may have too is never over: a call for advice and its
 * answer take up to a second.
 */
private fun isClearlyOver(waitMs: Double, limitMs: Long): Boolean =
    waitMs > LEAST_WAIT_MS && waitMs / ESTIMATE_MARGIN > limitMs

/**
 * Declared run times are off by half, so the true wait may be half of the estimate. In replays of
 * overload, a tenth of the refused jobs would have been on time; with a margin of 1, a quarter.
 */
private const val ESTIMATE_MARGIN = 2.0
private const val LEAST_WAIT_MS = 1_000.0

/** Work before a new job, by the resources that the job needs. */
private class Backlog(private val job: QueuedStep, private val drain: Drain) {
    private val hostMs = DoubleArray(CallLength.entries.size)
    private var cpuMillisMs = 0.0

    fun add(step: QueuedStep) {
        step.length?.let { hostMs[it.ordinal] += step.demand.hostMs }
        if (step.service == job.service) cpuMillisMs += step.demand.cpuMillisMs
    }

    /** Time until the resource that takes longest has drained the work. */
    fun waitMs(): Double {
        val longestMs = job.length?.let(::hostWaitMs) ?: 0.0
        val cpu = drain.cpuMillis[job.service] ?: return longestMs
        return if (job.demand.cpuMillisMs > 0) maxOf(longestMs, cpuMillisMs / cpu) else longestMs
    }

    /**
     * Time until calls of [length] get a host. Longer calls use only some of the hosts, so these
     * delay the others at most until the rest of the hosts has made them.
     */
    private fun hostWaitMs(length: CallLength): Double {
        if (drain.hosts == 0) return 0.0
        val lengths = CallLength.entries
        val ofLongerShare = lengths.getOrNull(length.ordinal + 1)?.hostShare ?: 0.0
        return lengths.filter { it <= length }.maxOf { shorter ->
            val all = lengths.filter { it >= shorter }.sumOf { hostMs[it.ordinal] }
            val upTo = lengths.filter { it in shorter..length }.sumOf { hostMs[it.ordinal] }
            minOf(all / shorter.hostShare, upTo / (shorter.hostShare - ofLongerShare)) /
                drain.hosts
        }
    }
}

/**
 * Why a gang of a job can never run, or null.
 *
 * @param ceiling what the customer's tasks may use in total, or null without a limit
 * @param fits whether all tasks of a step fit on the registered workers, or null if it is unknown
 */
internal fun sizeRefusal(
    steps: List<StepSpec>,
    ceiling: Resources?,
    fits: ((StepSpec) -> Boolean)?
): RefusalReason? {
    val gangs = steps.filter { it.gang }
    return when {
        ceiling != null && gangs.any { !(it.perTask * it.taskCount).fitsInto(ceiling) } ->
            RefusalReason.ABOVE_CEILING
        fits != null && gangs.any { !fits(it) } -> RefusalReason.ABOVE_WORKERS
        else -> null
    }
}

/**
 * When callers of refused jobs may come back, one queue at a time.
 *
 * Each refused job takes a turn that is as long as the drain needs for the job, so that the jobs
 * refused first come back first and don't come back all at once after a burst.
 */
internal class RetryTurns {
    private val lastMs = HashMap<String, Double>()

    /** Time until the caller may retry. */
    fun next(queue: String, excessMs: Double, turnMs: Double, nowMs: Long): Long {
        val earliestMs = nowMs + excessMs.coerceAtLeast(LEAST_RETRY_MS)
        val nextMs = lastMs[queue]?.let { maxOf(earliestMs, it + turnMs) } ?: earliestMs
        val retryMs = minOf(nextMs, nowMs + GREATEST_RETRY_MS)
        lastMs[queue] = retryMs
        return (retryMs - nowMs).toLong()
    }

    private companion object {
        const val LEAST_RETRY_MS = 1_000.0

        /** A later retry is of no use for any job: the longest lasts less. */
        const val GREATEST_RETRY_MS = GREATEST_RETRY_AFTER_MS.toDouble()
    }
}

/** Three times the objective of the longest jobs is about as long. */
internal const val GREATEST_RETRY_AFTER_MS = 45_000L

/** The part of a wait beyond what is useful, without the margin of the estimate. */
internal fun ExpectedStart.excessMs(): Double = waitMs / ESTIMATE_MARGIN - limitMs

/** How long the drain needs for a job alone. */
internal fun drainTimeMs(demand: Demand, service: String, drain: Drain): Double = maxOf(
    if (drain.hosts > 0) demand.hostMs / drain.hosts else 0.0,
    drain.cpuMillis[service]?.let { demand.cpuMillisMs / it } ?: 0.0
)
