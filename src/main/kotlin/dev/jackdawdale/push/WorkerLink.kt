package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StepId

/**
 * What a leader knows of one worker. Used on the control thread only.
 *
 * @param inheritedUntilMs when everything that earlier leaders allowed has lapsed
 */
internal class WorkerLink(var worker: PushWorker, inheritedUntilMs: Long, nowMs: Long) {
    private val runs = LinkedHashMap<StageTaskId, HeldRun>()

    private var used = Resources()

    /** The runs that hold room on the worker. */
    val held: Map<StageTaskId, HeldRun> get() = runs

    /** Sum of all leases given: nothing runs there after this time unless it is extended. */
    var leasedUntilMs = inheritedUntilMs

    /** Whether the worker has answered in this term; before that it gets no orders. */
    var synced = false

    /** Whether the last call reached the worker. */
    var reachable = false
    var heardMs = nowMs
    var sequence = -1L

    /** When the worker listed its runs last. */
    var reportedMs = 0L
    var leaving = false
    var suspectUntilMs = 0L
    var failuresInRow = 0

    /** Ends up to this number are decided; up to [acknowledgedEnd] they are durable. */
    var decidedEnd = 0L
    var acknowledgedEnd = 0L

    /** Questions in a row that got no answer. */
    var reportFailures = 0
    var reportInFlight = false
    var reportDueMs = 0L
    private var clockMs: Long? = null
    private var clockReadMs = 0L

    val free: Resources
        get() = Resources(worker.cpuMillis, worker.memoryMib, worker.accelerators) - used

    fun isUsable(nowMs: Long): Boolean = synced &&
        reachable &&
        !leaving &&
        !worker.draining &&
        clockMs != null &&
        leasedUntilMs > nowMs

    fun readClock(workerClockMs: Long, nowMs: Long) {
        clockMs = workerClockMs
        clockReadMs = nowMs
    }

    /** A time on the worker's clock that has been reached at [nowMs], or null when unknown. */
    fun workerTimeMs(nowMs: Long): Long? = clockMs?.let { it + (nowMs - clockReadMs) }

    fun hold(run: HeldRun) {
        release(run.taskId)
        runs[run.taskId] = run
        used += run.counted
    }

    fun release(taskId: StageTaskId) {
        val run = runs.remove(taskId) ?: return
        used -= run.counted
    }

    /** Replaces what is known of a run that still holds room. */
    fun update(run: HeldRun) {
        if (run.taskId in runs) runs[run.taskId] = run
    }

    fun runOf(taskId: StageTaskId, run: Int): HeldRun? =
        runs[taskId]?.takeIf { it.placement.run == run }

    fun countOf(stepId: StepId): Int = runs.keys.count { it.stepId == stepId }
}
