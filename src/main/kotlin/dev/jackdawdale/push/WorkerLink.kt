package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StepId

/**
 * State of one process of a worker at the leader. Used on the control thread only.
 *
 * @param fencingToken token of all calls to this process
 * @param inheritedUntilMs when all leases from calls of earlier leaders, and from calls for earlier
 *   processes of the worker, have expired
 */
internal class WorkerLink(
    var worker: PushWorker,
    val fencingToken: Long,
    inheritedUntilMs: Long,
    nowMs: Long
) {
    private val runs = LinkedHashMap<StageTaskId, HeldRun>()

    private var used = Resources()

    /** The runs that occupy capacity on the worker. */
    val held: Map<StageTaskId, HeldRun> get() = runs

    /** Latest end of this process's leases: nothing runs there after this time unless extended. */
    var leasedUntilMs = inheritedUntilMs
        private set

    /** Latest end of the lease of a later process that took a call for this one. */
    var laterLeasedUntilMs = inheritedUntilMs
        private set

    /** Whether the process has answered a call with its token; it gets no orders before that. */
    var synced = false
        private set

    /** Whether the last report arrived and no later call failed to reach the worker. */
    var reachable = false
    var heardMs = nowMs
    var sequence = -1L

    /** Speed of the worker's process; a later process has a link of its own. */
    val speed = SpeedEvidence()

    /** When the worker last listed its runs. */
    var reportedMs = 0L
    var leaving = false

    /** Whether the worker itself reported that it drains. */
    var drainReported = worker.draining
    var suspectUntilMs = 0L
    var failuresInRow = 0

    /** Ends up to this number are handled; those up to [acknowledgedEnd] are durable. */
    var decidedEnd = 0L
    var acknowledgedEnd = 0L

    /** Ends up to this number were acknowledged in a call that the process has answered. */
    private var discardedEnd = 0L

    /** Report requests in a row without an answer. */
    var reportFailures = 0
    var reportInFlight = false
    var reportDueMs = 0L

    /** The process's clock in its last report; null before the first one. */
    var clockMs: Long? = null
        private set
    private var clockReadMs = 0L

    val free: Resources
        get() = Resources(worker.cpuMillis, worker.memoryMib, worker.accelerators) - used

    fun isUsable(nowMs: Long): Boolean = synced &&
        reachable &&
        !leaving &&
        !worker.draining &&
        clockMs != null &&
        leasedUntilMs > nowMs

    /**
     * The number of ends to acknowledge in the next call, or 0 for none. A later process would
     * discard its own ends up to that number, so each number is only sent until it is answered, and
     * not while another process may have taken this one's place.
     */
    val unansweredEnd: Long
        get() = acknowledgedEnd.takeIf { reachable && it > discardedEnd } ?: 0

    /** Records an answer to a call that acknowledged the ends up to [acknowledged]. */
    fun discarded(acknowledged: Long) {
        discardedEnd = maxOf(discardedEnd, acknowledged)
    }

    /** Records that a call which extends the lease is sent. */
    fun extendLease(settings: PushSettings, nowMs: Long) {
        leasedUntilMs = maxOf(leasedUntilMs, nowMs + settings.leaseExpiryMs)
        laterLeasedUntilMs = maxOf(laterLeasedUntilMs, nowMs + settings.maxLeaseExpiryMs)
    }

    /**
     * Records an answer to a call with this process's token. Before the first one, the process may
     * have taken calls for an earlier one.
     */
    fun answered(settings: PushSettings, nowMs: Long) {
        if (!synced) leasedUntilMs = maxOf(leasedUntilMs, nowMs + settings.maxLeaseExpiryMs)
        synced = true
        reachable = true
        reportFailures = 0
        heardMs = nowMs
        reportedMs = nowMs
    }

    /** Until when [run] may be running if nothing is heard from the worker. */
    fun mayRunUntilMs(run: HeldRun): Long = when (val start = run.start) {
        is StartState.Confirmed ->
            if (run.orderUnanswered) maxOf(leasedUntilMs, laterLeasedUntilMs) else leasedUntilMs
        is StartState.OfEarlierProcess -> maxOf(leasedUntilMs, start.untilMs)
        StartState.Unsent, StartState.Inherited, is StartState.Sent ->
            maxOf(leasedUntilMs, laterLeasedUntilMs)
    }

    fun readClock(workerClockMs: Long, nowMs: Long) {
        clockMs = workerClockMs
        clockReadMs = nowMs
    }

    /** A time that the worker's clock has reached at [nowMs], or null when unknown. */
    fun workerTimeMs(nowMs: Long): Long? = clockMs?.let { it + (nowMs - clockReadMs) }

    fun hold(run: HeldRun) {
        release(run.taskId)
        runs[run.taskId] = run
        used += run.reserved
    }

    fun release(taskId: StageTaskId) {
        val run = runs.remove(taskId) ?: return
        used -= run.reserved
    }

    /** Replaces a run; ignored if the run no longer occupies capacity. */
    fun update(run: HeldRun) {
        if (run.taskId in runs) runs[run.taskId] = run
    }

    fun runOf(taskId: StageTaskId, run: Int): HeldRun? =
        runs[taskId]?.takeIf { it.placement.run == run }

    fun countOf(stepId: StepId): Int = runs.keys.count { it.stepId == stepId }
}
