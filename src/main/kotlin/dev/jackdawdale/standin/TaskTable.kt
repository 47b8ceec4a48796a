package dev.jackdawdale.standin

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.plus

/** A task that runs on a sample worker until [endsAtMs], or until it is stopped when null. */
internal data class HeldTask(
    val taskId: String,
    val token: Long,
    val declared: Resources,
    val usage: Resources,
    val endsAtMs: Long?,
    val result: TaskResult
)

/** The end of a held task at [atMs]; [detail] says why. */
internal data class TaskEnd(
    val task: HeldTask,
    val atMs: Long,
    val result: TaskResult,
    val detail: String
)

/**
 * The tasks of a sample worker. Not thread-safe: its owner calls it on one thread.
 *
 * @property runMs default run time of a task, when its payload has none
 * @property failAll every task fails after its run
 */
internal class TaskTable(private val runMs: Long, private val failAll: Boolean) {
    private val running = linkedMapOf<String, HeldTask>()
    private val unacknowledged = linkedMapOf<Long, EndedTask>()
    private val lastTokens = mutableMapOf<String, Long>()

    val held: List<HeldTask> get() = running.values.toList()
    val ended: List<EndedTask> get() = unacknowledged.values.toList()

    /** Sum of the declared resources of running tasks. */
    val inUse: Resources get() = held.map { it.declared }.fold(Resources(), Resources::plus)

    /** Starts the task; returns null when its token is not greater than the last one. */
    fun start(order: TaskOrder, nowMs: Long): HeldTask? {
        if (order.token <= (lastTokens[order.taskId] ?: 0)) return null
        lastTokens[order.taskId] = order.token
        val asked = directives(order.payload)
        val declared = Resources(order.cpuMillis, order.memoryMib, order.accelerators)
        val isService = order.timeLimitMs == null && asked.runMs == null
        val task = HeldTask(
            order.taskId,
            order.token,
            declared,
            declared.copy(
                cpuMillis = asked.usageCpuMillis ?: declared.cpuMillis,
                memoryMib = asked.usageMib ?: declared.memoryMib
            ),
            if (isService) null else nowMs + (asked.runMs ?: runMs),
            if (asked.fail || failAll) TaskResult.FAILED else TaskResult.SUCCEEDED
        )
        running[order.taskId] = task
        return task
    }

    /** Whether the order repeats the start of a running task. */
    fun isRunning(order: TaskOrder): Boolean = running[order.taskId]?.token == order.token

    /** Ends the tasks whose run time is over, each as of the time when it was due. */
    fun endDue(nowMs: Long): List<TaskEnd> =
        held.filter { it.endsAtMs != null && it.endsAtMs <= nowMs }.map { task ->
            end(task, task.endsAtMs ?: nowMs, task.result, "")
        }

    /** Ends the task of [order] with [result]; returns null when it is not running. */
    fun stop(order: TaskOrder, nowMs: Long, result: TaskResult, detail: String): TaskEnd? {
        val task = running[order.taskId] ?: return null
        return if (task.token == order.token) end(task, nowMs, result, detail) else null
    }

    /** Ends every task, as of [atMs]. */
    fun stopAll(atMs: Long, detail: String): List<TaskEnd> =
        held.map { end(it, atMs, TaskResult.STOPPED, detail) }

    /** Lowers the reported usage of the task of [order] to the limit in it. */
    fun throttle(order: TaskOrder): HeldTask? {
        val task = running[order.taskId]?.takeIf { it.token == order.token } ?: return null
        val usage = task.usage.copy(
            cpuMillis = minOf(task.usage.cpuMillis, order.cpuMillis),
            memoryMib = minOf(task.usage.memoryMib, order.memoryMib)
        )
        return task.copy(usage = usage).also { running[order.taskId] = it }
    }

    /** Reports that the task of a stop order never ran here, so that the cell can proceed. */
    fun reportNeverStarted(order: TaskOrder) {
        lastTokens[order.taskId] = maxOf(order.token, lastTokens[order.taskId] ?: 0)
        unacknowledged.putIfAbsent(
            order.token,
            EndedTask(order.taskId, order.token, TaskResult.NEVER_STARTED.name, "not held here")
        )
    }

    /** Whether the end of the order's task is not acknowledged yet. */
    fun hasEnded(order: TaskOrder): Boolean = order.token in unacknowledged

    fun acknowledge(tokens: List<Long>) = tokens.forEach(unacknowledged::remove)

    private fun end(task: HeldTask, atMs: Long, result: TaskResult, detail: String): TaskEnd {
        running.remove(task.taskId)
        unacknowledged[task.token] = EndedTask(task.taskId, task.token, result.name, detail)
        return TaskEnd(task, atMs, result, detail)
    }
}
