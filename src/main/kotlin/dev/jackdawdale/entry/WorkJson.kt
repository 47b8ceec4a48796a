package dev.jackdawdale.entry

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.Asked
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.label
import dev.jackdawdale.wire.WorkStatus
import java.util.Base64
import kotlinx.serialization.Serializable

/** An endpoint's answer in JSON. */
@Serializable
internal data class AnswerJson(val status: Int, val contentType: String, val bodyBase64: String)

/** The status of a work item in JSON. */
@Serializable
internal data class StatusJson(
    val workId: String,
    val requestId: String,
    val stage: String,
    val contractVersion: Long,
    val acceptedAtMs: Long,
    val outcome: String?,
    val reason: String?,
    val ran: String?,
    val endedAtMs: Long?,
    val answer: AnswerJson?,
    val taskCount: Int,
    val tasksRunning: Int,
    val tasksSucceeded: Int,
    val attempts: Int,
    val waitingReason: String?,
    val asOfMs: Long
)

internal fun WorkStatus.toJson(): StatusJson = StatusJson(
    workId = workId.value,
    requestId = workId.value.substringAfter('/'),
    stage = stage.name.lowercase(),
    contractVersion = contractVersion,
    acceptedAtMs = acceptedAtMs,
    outcome = outcome?.label,
    reason = outcome?.reason,
    ran = outcome?.ran,
    endedAtMs = endedAtMs,
    answer = answer?.toJson(),
    taskCount = taskCount,
    tasksRunning = tasksRunning,
    tasksSucceeded = tasksSucceeded,
    attempts = attempts,
    waitingReason = waitingReason,
    asOfMs = asOfMs
)

/** One line of the records response: a record and its chain hash. */
@Serializable
internal data class RecordJson(
    val number: Long,
    val workId: String,
    val customerId: String,
    val kind: String,
    val request: AskedRequestJson?,
    val job: AskedJobJson?,
    val contractVersion: Long,
    val acceptedAtMs: Long,
    val endedAtMs: Long,
    val outcome: String,
    val reason: String?,
    val ran: String,
    val attempts: Int,
    val lastPlacedAt: String?,
    val answer: AnswerJson?,
    val chainHash: String
)

/** The specification of a submitted request. */
@Serializable
internal data class AskedRequestJson(
    val service: String,
    val idempotent: Boolean,
    val kind: String,
    val declaredRunTimeMs: Long?,
    val urgency: String,
    val deadlineMs: Long,
    val contentType: String,
    val bodyBase64: String
)

/** The specification of a submitted job. */
@Serializable
internal data class AskedJobJson(
    val kind: String,
    val taskCount: Int,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long,
    val timeLimitMs: Long?,
    val urgency: String,
    val payload: String
)

internal fun WorkRecord.toJson(chainHash: String): RecordJson = RecordJson(
    number = number,
    workId = workId.value,
    customerId = customerId.value,
    kind = if (asked is Asked.Request) "request" else "job",
    request = (asked as? Asked.Request)?.toJson(),
    job = (asked as? Asked.Job)?.toJson(),
    contractVersion = contractVersion,
    acceptedAtMs = acceptedAtMs,
    endedAtMs = endedAtMs,
    outcome = outcome.label,
    reason = outcome.reason,
    ran = outcome.ran,
    attempts = attempts,
    lastPlacedAt = lastPlacedAt,
    answer = answer?.toJson(),
    chainHash = chainHash
)

private fun Asked.Request.toJson(): AskedRequestJson = AskedRequestJson(
    service = spec.service.value,
    idempotent = spec.idempotent,
    kind = spec.kind,
    declaredRunTimeMs = spec.declaredRunTimeMs,
    urgency = spec.urgency.name.lowercase(),
    deadlineMs = spec.deadlineMs,
    contentType = spec.contentType,
    bodyBase64 = base64(spec.body.bytes)
)

private fun Asked.Job.toJson(): AskedJobJson = AskedJobJson(
    kind = spec.kind.name.lowercase(),
    taskCount = spec.taskCount,
    cpuMillis = spec.perTask.cpuMillis,
    memoryMib = spec.perTask.memoryMib,
    accelerators = spec.perTask.accelerators,
    timeLimitMs = spec.timeLimitMs,
    urgency = spec.urgency.name.lowercase(),
    payload = spec.payload
)

private fun Answer.toJson(): AnswerJson = AnswerJson(status, contentType, base64(body.bytes))

private fun base64(bytes: ByteArray): String = Base64.getEncoder().encodeToString(bytes)

private val Outcome.reason: String?
    get() = when (this) {
        is Outcome.Failed -> reason
        is Outcome.NotRun -> reason
        is Outcome.MayHaveRun -> reason
        is Outcome.CannotRun -> reason
        else -> null
    }

/** Whether the work ran: `yes`, `no` or `unknown`. */
private val Outcome.ran: String
    get() = when (this) {
        Outcome.Succeeded, is Outcome.Failed -> "yes"
        is Outcome.Cancelled -> if (mayHaveRun) "unknown" else "no"
        is Outcome.MayHaveRun -> "unknown"
        Outcome.DeadlineExceeded, is Outcome.NotRun, is Outcome.CannotRun -> "no"
    }
