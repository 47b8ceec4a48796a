package dev.jackdawdale.platform

/** A start order as a stand-in worker receives it. */
internal data class StandInOrder(
    val task: String,
    val run: Int,
    val deadlineMs: Long,
    val fencingToken: Long
)

/** A run on a stand-in worker. */
internal data class StandInRun(val task: String, val run: Int)

/** An ended run; [number] counts the ends of one life, from 1. */
internal data class StandInEnd(val number: Long, val task: String, val run: Int, val kind: String)

/**
 * The state of one life of a stand-in worker, which knows nothing of earlier ones. Times given as
 * `nowMs` are of the host's steady clock; deadlines are of the worker's own, which begins at
 * [clockStartMs] and is slower by [clockSlowShare].
 *
 * @param beganMs when the life began, on the host's steady clock
 * @param maxHoldMs longest lease, on the worker's clock
 * @param record called with each start and end of a run
 */
internal class StandInLife(
    private val beganMs: Long,
    private val maxHoldMs: Long,
    private val clockSlowShare: Double = 0.0,
    private val clockStartMs: Long = 0,
    private val record: (WorkerEvent) -> Unit = {}
) {
    private val runs = LinkedHashMap<String, StandInRun>()
    private val ends = ArrayList<StandInEnd>()
    private val closedRun = HashMap<String, Int>()
    private var highestToken = 0L
    private var leaseUntilMs = 0L
    private var lastEnd = 0L

    val running: List<StandInRun> get() = runs.values.toList()

    /** Ends that have not been acknowledged. */
    val ended: List<StandInEnd> get() = ends.toList()

    /** The worker's clock. */
    fun clockMs(nowMs: Long): Long =
        clockStartMs + ((nowMs - beganMs) * (1 - clockSlowShare)).toLong()

    /** Starts a run. Returns the reason of a refusal, or null when the run is there. */
    fun start(order: StandInOrder, nowMs: Long): String? {
        if (!takeToken(order.fencingToken)) return "fence"
        if (order.deadlineMs < clockMs(nowMs)) return "late"
        extendLease(order.deadlineMs, nowMs)
        val present = runs[order.task]
        if (present?.run == order.run) return null
        if (order.run <= maxOf(present?.run ?: 0, closedRun[order.task] ?: 0)) return "old"
        if (present != null) end(present, "broken")
        runs[order.task] = StandInRun(order.task, order.run)
        record(WorkerEvent("started", order.task, order.run))
        return null
    }

    fun stop(task: String, run: Int, fencingToken: Long) {
        if (!takeToken(fencingToken)) return
        runs[task]?.takeIf { it.run == run }?.let { end(it, "stopped") }
        closedRun[task] = maxOf(closedRun[task] ?: 0, run)
    }

    /** Extends the lease if [deadlineMs] isn't null, and forgets the ends up to [cursor]. */
    fun hold(fencingToken: Long, deadlineMs: Long?, cursor: Long, nowMs: Long) {
        if (!takeToken(fencingToken)) return
        deadlineMs?.let { extendLease(it, nowMs) }
        ends.removeAll { it.number <= cursor }
    }

    /** Ends a run as done, if it is still there. */
    fun finish(task: String, run: Int) {
        runs[task]?.takeIf { it.run == run }?.let { end(it, "done") }
    }

    /** Ends all runs if the lease has expired. */
    fun endLapsed(nowMs: Long) {
        if (clockMs(nowMs) > leaseUntilMs) running.forEach { end(it, "lapsed") }
    }

    private fun takeToken(token: Long): Boolean {
        if (token < highestToken) return false
        highestToken = token
        return true
    }

    private fun extendLease(deadlineMs: Long, nowMs: Long) {
        leaseUntilMs = maxOf(leaseUntilMs, minOf(deadlineMs, clockMs(nowMs) + maxHoldMs))
    }

    private fun end(run: StandInRun, kind: String) {
        runs.remove(run.task)
        closedRun[run.task] = maxOf(closedRun[run.task] ?: 0, run.run)
        ends += StandInEnd(++lastEnd, run.task, run.run, kind)
        record(WorkerEvent(kind, run.task, run.run))
    }
}
