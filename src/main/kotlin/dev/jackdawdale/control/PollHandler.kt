package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.recovery.ordersFor
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.Reply

/**
 * Answers long polls of workers: a poll is held until there is an order or it times out.
 *
 * @param leaseGranted called just before an answer that renews a worker's lease is sent
 */
internal class PollHandler(
    private val settings: ControlSettings,
    private val committed: () -> CellState,
    private val nowMs: () -> Long,
    private val leaseGranted: (WorkerId) -> Unit
) {
    private val held = WorkerPolls()

    fun clear() = held.clear()

    fun answerOrHold(poll: WorkerPoll) {
        val orders = ordersFor(committed(), poll.workerId, poll.running)
        val mayWait = orders.isEmpty() && poll.acknowledged.isEmpty() && nowMs() < poll.untilMs
        if (mayWait) held.hold(poll) else answer(poll, orders)
    }

    /** Answers the worker's held poll if there is now an order or the poll timed out. */
    fun recheck(workerId: WorkerId) {
        held.take(workerId)?.let(::answerOrHold)
    }

    fun answerDue() = held.takeDue(nowMs()).forEach { poll ->
        answer(poll, ordersFor(committed(), poll.workerId, poll.running))
    }

    private fun answer(poll: WorkerPoll, orders: List<WorkerOrder>) {
        leaseGranted(poll.workerId)
        val reply = Reply.WorkerOrders(orders, settings.leaseMs, poll.acknowledged)
        poll.link.send(ControlMessage.ReplyTo(poll.callId, reply))
    }
}
