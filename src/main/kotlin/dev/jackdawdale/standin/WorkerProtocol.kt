package dev.jackdawdale.standin

import kotlinx.serialization.Serializable

/** The body of a worker's poll. */
@Serializable
internal data class WorkerAnnouncement(
    val incarnation: Long,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long,
    val rack: String,
    val failureDomain: String,
    val enforcesLeases: Boolean,
    val leaving: Boolean,
    val pollMs: Long,
    val running: List<RunningTask>,
    val ended: List<EndedTask>
)

@Serializable
internal data class RunningTask(
    val taskId: String,
    val token: Long,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long
)

/** @property result name of a [dev.jackdawdale.model.TaskResult] */
@Serializable
internal data class EndedTask(
    val taskId: String,
    val token: Long,
    val result: String,
    val detail: String = ""
)

/** The answer to a poll. */
@Serializable
internal data class WorkerOrders(
    val leaseMs: Long,
    val acknowledged: List<Long> = emptyList(),
    val orders: List<TaskOrder> = emptyList()
)

/** @property order one of start, stop, checkpoint and throttle */
@Serializable
internal data class TaskOrder(
    val order: String,
    val taskId: String,
    val token: Long,
    val cpuMillis: Long = 0,
    val memoryMib: Long = 0,
    val accelerators: Long = 0,
    val timeLimitMs: Long? = null,
    val payload: String = "",
    val reason: String? = null
)
