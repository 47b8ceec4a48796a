package dev.jackdawdale.platform

import dev.jackdawdale.entry.Access
import dev.jackdawdale.entry.HttpCall
import dev.jackdawdale.entry.HttpResult
import dev.jackdawdale.entry.Route
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedQuery
import dev.jackdawdale.staged.StagedReply
import dev.jackdawdale.telemetry.DecisionLog
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlClient
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply
import java.util.concurrent.ThreadLocalRandom
import kotlinx.serialization.json.put
import org.apache.logging.log4j.LogManager

private const val DEADLINE_HEADER = "Deadline-Ms"
private const val DEFAULT_DEADLINE_MS = 3_000L

/** Longer than any caller of the platform waits for an answer. */
private const val MAX_DEADLINE_MS = 600_000L

/** Part of the caller's deadline that is reserved for sending the answer. */
private const val ANSWER_MARGIN_MS = 150L
private const val MIN_CALL_MS = 50L
private const val RETRY_AFTER_MS = 1_000L

private val log = LogManager.getLogger("dev.jackdawdale.platform")

/** Translates callers' HTTP calls into commands and queries for the leader. */
internal class CallerRoutes(
    private val client: ControlClient,
    private val rejected: RejectedBodies,
    private val clock: () -> Long
) {
    private val decisions = DecisionLog(log)

    /** Handles every call that arrives at the callers' address. */
    val route = Route("*", "*", Access.ANYONE, ::handle)

    private suspend fun handle(call: HttpCall): HttpResult {
        val receivedMs = clock()
        val result = answer(call)
        val nowMs = clock()
        decisions.line(nowMs, call.rawPath.substringAfterLast('/')) {
            val session = if (client.isOpen) "term ${client.highestTerm}" else "no session"
            val tookMs = nowMs - receivedMs
            "${call.method} ${call.rawPath}: ${result.status} after $tookMs ms, $session"
        }
        return result
    }

    private suspend fun answer(call: HttpCall): HttpResult {
        val host = call.headers["Host"].orEmpty().substringBefore(':')
        val path = call.rawPath
        val timeoutMs = call.timeoutMs()
        val keyHash = keyHashOf(call.headers)
        return when (call.method) {
            "POST" -> submit(host, path, keyHash, call.body, timeoutMs)
            "DELETE" -> answer(run(StagedCommand.Cancel(host, path, keyHash), timeoutMs))
            "GET" -> answer(client.query(Query.Staged(StagedQuery(host, path, keyHash)), timeoutMs))
            else -> text(NOT_ALLOWED, "this path allows GET, POST and DELETE")
        }
    }

    private suspend fun submit(
        host: String,
        path: String,
        keyHash: String,
        body: ByteArray,
        timeoutMs: Long
    ): HttpResult {
        val command = try {
            decodeSubmit(host, path, body).copy(keyHash = keyHash, callId = newCallId())
        } catch (e: MalformedBody) {
            rejected.record(BodyKind.JOB, path, e.problem)
            return text(BAD_REQUEST, "the job cannot be read: ${e.problem}")
        }
        return answer(run(command, timeoutMs))
    }

    /** The client repeats the command with the same id until a leader answers. */
    private fun newCallId(): String = ThreadLocalRandom.current().nextLong().toHexString()

    private suspend fun run(command: StagedCommand, timeoutMs: Long): Reply =
        client.call(Command.Staged(command), timeoutMs)

    private fun HttpCall.timeoutMs(): Long {
        val deadlineMs = headers[DEADLINE_HEADER]?.toLongOrNull() ?: DEFAULT_DEADLINE_MS
        return (deadlineMs.coerceIn(0, MAX_DEADLINE_MS) - ANSWER_MARGIN_MS)
            .coerceAtLeast(MIN_CALL_MS)
    }

    private fun answer(reply: Reply): HttpResult = when (reply) {
        is Reply.Staged -> answer(reply.reply)
        Reply.LeadershipLost -> text(UNKNOWN_OUTCOME, "no answer from the leader in time")
        is Reply.Refused -> text(UNAVAILABLE, "not run: ${reply.refusal}", RETRY_AFTER_MS)
        else -> text(UNKNOWN_OUTCOME, "unexpected reply ${reply::class.simpleName}")
    }

    private fun answer(reply: StagedReply): HttpResult = when (reply) {
        is StagedReply.Job -> json(OK) { put("state", reply.progress.wireName) }
        is StagedReply.Pending -> json(OK) { put("pending", reply.jobs) }
        StagedReply.NoSuchJob -> text(GONE, "no such job")
        StagedReply.NoSuchQueue -> text(NOT_FOUND, "no queue takes this host and path")
        StagedReply.NotConfigured -> text(UNAVAILABLE, "no configuration yet", RETRY_AFTER_MS)
        StagedReply.UnknownKey -> unauthorized()
        StagedReply.OtherCustomer -> text(FORBIDDEN, "the job belongs to another customer")
        is StagedReply.Overloaded -> text(OVERLOADED, "not run: overloaded", reply.retryAfterMs)
        is StagedReply.Malformed -> text(BAD_REQUEST, reply.problem)
    }
}
