package dev.jackdawdale.bench

import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.ReportedEnd
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.WorkerOrder

/** Duration, usage and result of a run on a virtual worker, unless it is stopped. */
internal data class RunPlan(
    val durationMs: Long,
    val usage: Resources,
    val result: TaskResult = TaskResult.SUCCEEDED
)

internal data class VirtualRun(
    val taskId: TaskId,
    val token: FencingToken,
    val endsAtMs: Long,
    val usage: Resources,
    val result: TaskResult
)

/** A worker in virtual time that follows the worker protocol but does not check its capacity. */
internal class VirtualWorker(var info: WorkerInfo, private val leaseMs: Long) {
    val running = linkedMapOf<TaskId, VirtualRun>()
    val ended = linkedMapOf<FencingToken, ReportedEnd>()
    var silent = false
    var leaving = false
    var nextPollMs = 0L

    private val lastTokens = mutableMapOf<TaskId, FencingToken>()
    private var leaseUntilMs = Long.MAX_VALUE

    /** Ends the runs that are due at [nowMs], and all runs when the lease has expired. */
    fun advance(nowMs: Long) {
        if (info.enforcesLeases && nowMs >= leaseUntilMs) {
            running.values.toList().forEach { finish(it, TaskResult.STOPPED) }
        }
        if (running.values.none { it.endsAtMs <= nowMs }) return
        running.values.filter { it.endsAtMs <= nowMs }.forEach { finish(it, it.result) }
    }

    fun nextEndMs(): Long = running.values.minOfOrNull { it.endsAtMs } ?: Long.MAX_VALUE

    fun report(): List<ReportedTask> =
        running.values.map { ReportedTask(it.taskId, it.token, it.usage) }

    /** Handles the answer to the announcement that was sent at [sentMs]. */
    fun receive(
        orders: List<WorkerOrder>,
        acknowledged: List<FencingToken>,
        sentMs: Long,
        plan: (WorkerOrder.Start) -> RunPlan
    ) {
        leaseUntilMs = sentMs + leaseMs
        acknowledged.forEach(ended::remove)
        for (order in orders) execute(order, sentMs, plan)
    }

    fun restart() {
        running.clear()
        ended.clear()
        lastTokens.clear()
        leaseUntilMs = Long.MAX_VALUE
        info = info.copy(incarnation = info.incarnation + 1)
        nextPollMs = 0
    }

    private fun execute(order: WorkerOrder, nowMs: Long, plan: (WorkerOrder.Start) -> RunPlan) {
        when (order) {
            is WorkerOrder.Start -> start(order, nowMs, plan(order))
            is WorkerOrder.Stop -> stop(order, TaskResult.STOPPED)
            is WorkerOrder.Checkpoint -> stop(order, TaskResult.CHECKPOINTED)
            is WorkerOrder.Throttle -> throttle(order)
        }
    }

    private fun start(order: WorkerOrder.Start, nowMs: Long, plan: RunPlan) {
        val last = lastTokens[order.taskId]
        if (last != null && order.token <= last) return
        lastTokens[order.taskId] = order.token
        running[order.taskId] = VirtualRun(
            order.taskId,
            order.token,
            nowMs + plan.durationMs,
            plan.usage,
            plan.result
        )
    }

    private fun stop(order: WorkerOrder, result: TaskResult) {
        val run = running[order.taskId]
        if (run != null && run.token == order.token) {
            finish(run, result)
            return
        }
        val last = lastTokens[order.taskId]
        if (last != null && order.token <= last) return
        lastTokens[order.taskId] = order.token
        ended[order.token] = ReportedEnd(order.taskId, order.token, TaskResult.NEVER_STARTED)
    }

    private fun throttle(order: WorkerOrder.Throttle) {
        val run = running[order.taskId]?.takeIf { it.token == order.token } ?: return
        val cpuMillis = minOf(run.usage.cpuMillis, order.limit.cpuMillis)
        running[order.taskId] = run.copy(usage = run.usage.copy(cpuMillis = cpuMillis))
    }

    private fun finish(run: VirtualRun, result: TaskResult) {
        running.remove(run.taskId)
        ended[run.token] = ReportedEnd(run.taskId, run.token, result)
    }
}
