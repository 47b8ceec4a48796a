package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.workId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply
import kotlinx.serialization.Serializable

/** Body of the call that submits a job. */
@Serializable
private data class JobJson(
    val requestId: String,
    val kind: JobKind,
    val taskCount: Int = 1,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long = 0,
    val timeLimitMs: Long? = null,
    val urgency: Urgency = Urgency.NORMAL,
    val payload: String = ""
)

private const val MAX_TASKS = 100_000

/** The routes for a customer's jobs, and for the status and records of its work. */
internal fun workRoutes(host: EntryHost): List<Route> = listOf(
    Route("POST", "/v1/jobs", Access.CUSTOMER) { call ->
        host.requireNewWorkAllowed(call)
        val spec = call.decodeBody(JobJson.serializer()).toSpec(call.customer())
        val reply = host.client.call(Command.SubmitJob(spec), host.settings.commandTimeoutMs)
        statusResult(202, reply.expect<Reply.Work>(Ran.UNKNOWN))
    },
    Route("GET", "/v1/work/{request_id}", Access.CUSTOMER_OR_OPERATOR) { call ->
        call.allowQuery("customer")
        val query = Query.Work(call.callingCustomer(), call.targetWorkId())
        val reply = host.client.query(query, host.settings.commandTimeoutMs)
        statusResult(200, reply.expect<Reply.Work>())
    },
    Route("DELETE", "/v1/work/{request_id}", Access.CUSTOMER_OR_OPERATOR) { call ->
        call.allowQuery("customer")
        val command = Command.Cancel(call.targetCustomer(), call.targetWorkId())
        val reply = host.client.call(command, host.settings.commandTimeoutMs)
        statusResult(200, reply.expect<Reply.Work>(Ran.UNKNOWN))
    },
    recordsRoute(host)
)

private fun statusResult(status: Int, reply: Reply.Work): HttpResult =
    jsonResult(status, StatusJson.serializer(), reply.status.toJson())

private fun JobJson.toSpec(customerId: CustomerId): JobSpec {
    if (taskCount > MAX_TASKS) throw invalid("task_count", "$taskCount is over $MAX_TASKS")
    return JobSpec(
        workId = workId(customerId, validId("request_id", requestId)),
        customerId = customerId,
        kind = kind,
        perTask = resources(cpuMillis, memoryMib, accelerators),
        taskCount = atLeast(1, "task_count", taskCount),
        timeLimitMs = timeLimitMs?.let { atLeast(1L, "time_limit_ms", it) },
        urgency = urgency,
        payload = payload
    )
}

/** The customer that makes the call, or null for an operator. */
internal fun HttpCall.callingCustomer(): CustomerId? =
    (principal as? Principal.Customer)?.customerId

/** The customer whose work the call concerns: the caller, or the one an operator specifies. */
private fun HttpCall.targetCustomer(): CustomerId {
    val own = callingCustomer()
    val named = queryText("customer")?.let { CustomerId(validId("customer", it)) }
    if (own != null && named != null && named != own) {
        throw HttpError(403, "forbidden", "the work of another customer")
    }
    return own ?: named ?: throw invalid("customer", "is needed when an operator asks")
}

private fun HttpCall.targetWorkId(): WorkId = workId(targetCustomer(), pathId("request_id"))
