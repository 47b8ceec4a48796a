package dev.jackdawdale.entry

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.label
import dev.jackdawdale.model.workId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Reply
import dev.jackdawdale.wire.WorkStage
import dev.jackdawdale.wire.WorkStatus
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val DEFAULT_TYPE = "application/octet-stream"
private const val RESUBMIT_INTERVAL_MS = 200L
private const val RESPOND_ASYNC = "respond-async"

/** The route that submits a request. */
internal fun requestRoutes(host: EntryHost): List<Route> = listOf(
    Route("POST", "/v1/services/{service}/requests", Access.CUSTOMER) { call ->
        host.requireNewWorkAllowed(call)
        val async = call.headers.getAll("Prefer").any { it.contains(RESPOND_ASYNC, true) }
        val command = call.submitCommand(host.settings, waits = !async)
        if (async) host.submitAsync(command) else host.submitAndWait(command)
    }
)

private fun HttpCall.submitCommand(settings: EntrySettings, waits: Boolean): Command.SubmitRequest {
    val requestId = header("Jackdawdale-Request-Id")
        ?: throw badHeader("Jackdawdale-Request-Id", "is needed")
    val customerId = customer()
    return Command.SubmitRequest(
        workId = workId(customerId, validId("Jackdawdale-Request-Id", requestId)),
        customerId = customerId,
        service = ServiceName(pathId("service")),
        idempotent = booleanHeader("Jackdawdale-Idempotent"),
        kind = validText("Jackdawdale-Kind", header("Jackdawdale-Kind").orEmpty()),
        declaredRunTimeMs = longHeader("Jackdawdale-Declared-Ms", 1L..settings.maxDeadlineMs),
        urgency = urgencyHeader(),
        deadlineInMs = longHeader("Jackdawdale-Deadline-Ms", 1L..settings.maxDeadlineMs)
            ?: settings.defaultDeadlineMs,
        contentType = validText(
            "Content-Type",
            header(HttpHeaderNames.CONTENT_TYPE.toString()) ?: DEFAULT_TYPE
        ),
        body = Blob(body),
        waits = waits
    )
}

/** False when the header is absent: a request is not idempotent unless the caller says so. */
private fun HttpCall.booleanHeader(name: String): Boolean {
    val text = header(name) ?: return false
    return text.lowercase().toBooleanStrictOrNull()
        ?: throw badHeader(name, "must be true or false")
}

private fun HttpCall.urgencyHeader(): Urgency {
    val text = header("Jackdawdale-Urgency") ?: return Urgency.NORMAL
    return Urgency.entries.firstOrNull { it.name.equals(text, ignoreCase = true) }
        ?: throw badHeader("Jackdawdale-Urgency", "must be urgent, normal or deferrable")
}

private suspend fun EntryHost.submitAsync(command: Command.SubmitRequest): HttpResult {
    val reply = client.call(command, settings.commandTimeoutMs)
    val status = reply.expect<Reply.Work>(Ran.UNKNOWN).status
    return jsonResult(202, StatusJson.serializer(), status.toJson(), status.workHeaders())
}

private suspend fun EntryHost.submitAndWait(command: Command.SubmitRequest): HttpResult {
    val waiter = waiters.add(command)
        ?: throw unavailable("too_many_waiting", "too many bytes wait on this host")
    try {
        val sessionCount = client.sessionCount
        val reply = client.call(command, settings.commandTimeoutMs)
        val status = reply.expect<Reply.Work>(Ran.UNKNOWN).status
        waiter.accepted = true
        waiter.completeIfEnded(status)
        // A session that opened before the waiter was marked as accepted has not resubmitted it.
        if (client.sessionCount != sessionCount) resubmitInBackground(waiter)
        val waitMs = command.deadlineInMs + settings.answerGraceMs
        val ended = withTimeoutOrNull(waitMs) { waiter.ended.await() } ?: throw HttpError(
            504,
            "not_ended",
            "the request has not ended by its deadline; ask for its status",
            Ran.UNKNOWN
        )
        return ended.toResult(command.workId)
    } finally {
        waiters.remove(waiter)
    }
}

/**
 * Resubmits the request of [waiter] on a new session, so that its leader reports the outcome. The
 * request was accepted before, so a refusal does not apply to it and the resubmission is retried.
 */
internal suspend fun EntryHost.resubmit(waiter: Waiter) {
    while (waiters.contains(waiter) && !waiter.ended.isCompleted) {
        val sessionCount = client.sessionCount
        val reply = client.call(waiter.command, settings.commandTimeoutMs)
        if (reply is Reply.Work) waiter.completeIfEnded(reply.status)
        if (reply is Reply.Work && client.sessionCount == sessionCount) return
        delay(RESUBMIT_INTERVAL_MS)
    }
}

private fun Waiter.completeIfEnded(status: WorkStatus) {
    val outcome = status.outcome
    if (status.stage != WorkStage.ENDED || outcome == null) return
    ended.complete(EndedRequest(outcome, status.answer, status.attempts))
}

private fun EndedRequest.toResult(workId: WorkId): HttpResult {
    val headers = buildMap {
        put("Jackdawdale-Work-Id", workId.value)
        put("Jackdawdale-Outcome", outcome.label)
        attempts?.let { put("Jackdawdale-Attempts", it.toString()) }
    }
    val response = answer
    if (response != null) {
        return HttpResult(response.status, response.contentType, response.body.bytes, headers)
    }
    return outcome.toError().toResult().with(headers)
}

private fun HttpResult.with(more: Map<String, String>): HttpResult =
    HttpResult(status, contentType, body, headers + more)

private fun WorkStatus.workHeaders(): Map<String, String> =
    mapOf("Jackdawdale-Work-Id" to workId.value)
