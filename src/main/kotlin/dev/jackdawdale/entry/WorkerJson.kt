package dev.jackdawdale.entry

import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.ReportedEnd
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Reply
import kotlinx.serialization.Serializable

private const val DEFAULT_POLL_MS = 1_000L

/** A running task in a worker's announcement, with its last measured usage. */
@Serializable
internal data class RunningJson(
    val taskId: String,
    val token: Long,
    val cpuMillis: Long = 0,
    val memoryMib: Long = 0,
    val accelerators: Long = 0
)

/** The end of a task in a worker's announcement. */
@Serializable
internal data class EndedJson(
    val taskId: String,
    val token: Long,
    val result: TaskResult,
    val detail: String = ""
)

/** Body of a worker's announcement. */
@Serializable
internal data class WorkerJson(
    val incarnation: Long,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long = 0,
    val rack: String = "",
    val failureDomain: String = "",
    val enforcesLeases: Boolean = true,
    val leaving: Boolean = false,
    val pollMs: Long = DEFAULT_POLL_MS,
    val running: List<RunningJson> = emptyList(),
    val ended: List<EndedJson> = emptyList()
)

internal fun WorkerJson.toCommand(id: WorkerId, maxPollMs: Long): Command.AnnounceWorker {
    val info = WorkerInfo(
        workerId = id,
        incarnation = atLeast(0L, "incarnation", incarnation),
        capacity = resources(cpuMillis, memoryMib, accelerators),
        rack = validText("rack", rack),
        failureDomain = FailureDomain(validText("failure_domain", failureDomain)),
        enforcesLeases = enforcesLeases
    )
    return Command.AnnounceWorker(
        info = info,
        leaving = leaving,
        running = running.map { it.toReport() },
        ended = ended.map { ReportedEnd(TaskId(it.taskId), it.fencingToken, it.result, it.detail) },
        pollMs = atLeast(0L, "poll_ms", pollMs).coerceAtMost(maxPollMs)
    )
}

private fun RunningJson.toReport(): ReportedTask = ReportedTask(
    TaskId(taskId),
    FencingToken(atLeast(0L, "token", token)),
    resources(cpuMillis, memoryMib, accelerators)
)

private val EndedJson.fencingToken: FencingToken
    get() = FencingToken(atLeast(0L, "token", token))

/** One order in the response to a worker's announcement. */
@Serializable
internal data class OrderJson(
    val order: String,
    val taskId: String,
    val token: Long,
    val cpuMillis: Long? = null,
    val memoryMib: Long? = null,
    val accelerators: Long? = null,
    val timeLimitMs: Long? = null,
    val payload: String? = null,
    val reason: String? = null
)

/** Response to a worker's announcement. */
@Serializable
internal data class WorkerOrdersJson(
    val leaseMs: Long,
    val acknowledged: List<Long>,
    val orders: List<OrderJson>
)

internal fun Reply.WorkerOrders.toJson(): WorkerOrdersJson =
    WorkerOrdersJson(leaseMs, acknowledged.map { it.value }, orders.map { it.toJson() })

private fun WorkerOrder.toJson(): OrderJson = when (this) {
    is WorkerOrder.Start -> OrderJson(
        order = "start",
        taskId = taskId.value,
        token = token.value,
        cpuMillis = resources.cpuMillis,
        memoryMib = resources.memoryMib,
        accelerators = resources.accelerators,
        timeLimitMs = timeLimitMs,
        payload = payload
    )
    is WorkerOrder.Stop -> OrderJson(
        order = "stop",
        taskId = taskId.value,
        token = token.value,
        reason = reason.name.lowercase()
    )
    is WorkerOrder.Checkpoint -> OrderJson("checkpoint", taskId.value, token.value)
    is WorkerOrder.Throttle -> OrderJson(
        order = "throttle",
        taskId = taskId.value,
        token = token.value,
        cpuMillis = limit.cpuMillis,
        memoryMib = limit.memoryMib,
        accelerators = limit.accelerators
    )
}
