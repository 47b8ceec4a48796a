package dev.jackdawdale.control

import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.WorkerId

/**
 * A worker's poll that waits for an order.
 *
 * @property untilMs when it is answered even without an order
 */
internal data class WorkerPoll(
    val link: SessionLink,
    val callId: Long,
    val workerId: WorkerId,
    val running: List<ReportedTask>,
    val acknowledged: List<FencingToken>,
    val untilMs: Long
)

/** The polls held back at this leader, at most one for each worker. Control thread only. */
internal class WorkerPolls {
    private val byWorker = LinkedHashMap<WorkerId, WorkerPoll>()

    /** Holds [poll]; an earlier poll of the same worker is dropped, since it gave up on it. */
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
