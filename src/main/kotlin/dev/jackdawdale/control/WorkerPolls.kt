package dev.jackdawdale.control

import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.WorkerId

/**
 * A worker's long poll.
 *
 * @property untilMs time at which the poll is answered even without an order
 */
internal data class WorkerPoll(
    val link: SessionLink,
    val callId: Long,
    val workerId: WorkerId,
    val running: List<ReportedTask>,
    val acknowledged: List<FencingToken>,
    val untilMs: Long
)

/** Held polls, at most one per worker. Confined to the control thread. */
internal class WorkerPolls {
    private val byWorker = LinkedHashMap<WorkerId, WorkerPoll>()

    /** Holds [poll] and drops an earlier one of the worker, which no longer waits for it. */
    fun hold(poll: WorkerPoll) {
        byWorker[poll.workerId] = poll
    }

    fun take(workerId: WorkerId): WorkerPoll? = byWorker.remove(workerId)

    fun takeDue(nowMs: Long): List<WorkerPoll> {
        val due = byWorker.values.filter { it.untilMs <= nowMs }
        due.forEach { byWorker.remove(it.workerId) }
        return due
    }

    fun clear() = byWorker.clear()
}
