package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/** Identifies a customer, the holder of one contract. */
@Serializable
@JvmInline
value class CustomerId(val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies one work item. It consists of the customer and the request id that the customer chose,
 * so that a resend at any entry host refers to the same work item.
 */
@Serializable
@JvmInline
value class WorkId(val value: String) {
    override fun toString(): String = value
}

/** Identifies one task of a job. */
@Serializable
@JvmInline
value class TaskId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a worker, a machine that runs tasks. */
@Serializable
@JvmInline
value class WorkerId(val value: String) {
    override fun toString(): String = value
}

/** Identifies an endpoint, a back end that serves requests of one service. */
@Serializable
@JvmInline
value class EndpointId(val value: String) {
    override fun toString(): String = value
}

/** Identifies a host of the system itself. */
@Serializable
@JvmInline
value class HostId(val value: String) {
    override fun toString(): String = value
}

/** The name of a service that endpoints provide. */
@Serializable
@JvmInline
value class ServiceName(val value: String) {
    override fun toString(): String = value
}

/** Identifies a failure domain, a set of machines that can fail together. */
@Serializable
@JvmInline
value class FailureDomain(val value: String) {
    override fun toString(): String = value
}

/** Identifies an operator's change; a resend with the same id gets the first answer. */
@Serializable
@JvmInline
value class ChangeId(val value: String) {
    override fun toString(): String = value
}

/**
 * Increases with every placement in the cell. A worker does not start a task whose token is not
 * greater than the last one that it saw for the same task.
 */
@Serializable
@JvmInline
value class FencingToken(val value: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

private const val MAX_ID_CHARS = 128
private val idPattern = Regex("[A-Za-z0-9._:@-]+")

/** True when [text] is a valid id: 1 to 128 of the characters `A-Z a-z 0-9 . _ : @ -`. */
fun isValidId(text: String): Boolean = text.length <= MAX_ID_CHARS && idPattern.matches(text)

/** The id of the work item that [customerId] submitted as [requestId]. */
fun workId(customerId: CustomerId, requestId: String): WorkId =
    WorkId("${customerId.value}/$requestId")

/** The id of task number [index] (from 0) of the job [workId]. */
fun taskId(workId: WorkId, index: Int): TaskId = TaskId("${workId.value}#$index")
