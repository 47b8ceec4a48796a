package dev.jackdawdale.platform

import dev.jackdawdale.outgoing.CallOutcome
import dev.jackdawdale.outgoing.HttpCaller
import dev.jackdawdale.outgoing.OutgoingCall
import dev.jackdawdale.push.PushSettings
import dev.jackdawdale.push.ReportRequest
import dev.jackdawdale.push.ReportResult
import dev.jackdawdale.push.StartOrder
import dev.jackdawdale.push.StartRefusal
import dev.jackdawdale.push.StartResult
import dev.jackdawdale.push.StopResult
import dev.jackdawdale.push.WorkerClient
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StepId
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Calls workers and the adviser over HTTP and translates their answers. */
internal class PlatformClient(
    private val http: HttpCaller,
    private val settings: PushSettings,
    private val rejected: RejectedBodies
) {
    /** The client for calls to workers. */
    val workerClient = WorkerClient(::start, ::stop, ::report)

    private fun start(worker: PushWorker, order: StartOrder, onResult: (StartResult) -> Unit) {
        val body = buildJsonObject {
            put("task", order.taskId.wireName)
            put("run", order.run)
            put("spec", order.payload)
            put("deadlineMs", order.validUntilMs)
            put("fencingToken", order.fencingToken)
            if (order.checkpoint.isNotEmpty()) put("lastCheckpoint", order.checkpoint)
            if (order.ticket.isNotEmpty()) put("ticket", order.ticket)
        }
        call(worker, "/run-start", body, settings.startAnswerMs) {
            onResult(startResult(worker.workerId, it))
        }
    }

    private fun startResult(workerId: String, outcome: CallOutcome): StartResult = when (outcome) {
        is CallOutcome.NotSent -> StartResult.NotSent
        is CallOutcome.Unanswered -> StartResult.Unknown(outcome.reason)
        is CallOutcome.Answered -> when (outcome.status) {
            OK -> StartResult.Started(clockOf(workerId, outcome.body))
            CONFLICT -> refusalOf(outcome.body)
            BAD_REQUEST -> StartResult.Refused(StartRefusal.MALFORMED)
            OVERLOADED, UNAVAILABLE -> StartResult.Refused(StartRefusal.UNHEALTHY)
            OTHER_BOOT -> StartResult.OtherBoot
            else -> StartResult.Unknown("status ${outcome.status}")
        }
    }

    /** The run has started, whatever the body holds. */
    private fun clockOf(workerId: String, body: ByteArray): Long? = try {
        wireObject(body).longOrNull("clockMs")
    } catch (e: MalformedBody) {
        rejected.record(BodyKind.START_ANSWER, workerId, e.problem)
        null
    }

    private fun refusalOf(body: ByteArray): StartResult = try {
        val reason = wireObject(body).text("reason")
        refusalReasons[reason]?.let { StartResult.Refused(it) }
            ?: StartResult.Unknown("refused for the unknown reason $reason")
    } catch (e: MalformedBody) {
        StartResult.Unknown("refused with an unreadable body: ${e.problem}")
    }

    private fun stop(
        worker: PushWorker,
        taskId: StageTaskId,
        run: Int,
        fencingToken: Long,
        onResult: (StopResult) -> Unit
    ) {
        val body = buildJsonObject {
            put("task", taskId.wireName)
            put("run", run)
            put("fencingToken", fencingToken)
        }
        call(worker, "/run-stop", body, settings.startAnswerMs) { outcome ->
            val status = (outcome as? CallOutcome.Answered)?.status
            onResult(
                when (status) {
                    OK -> StopResult.ACCEPTED
                    OTHER_BOOT -> StopResult.OTHER_BOOT
                    else -> StopResult.UNKNOWN
                }
            )
        }
    }

    private fun report(
        worker: PushWorker,
        request: ReportRequest,
        onResult: (ReportResult) -> Unit
    ) {
        val body = buildJsonObject {
            put("fencingToken", request.fencingToken)
            put("ackCursor", request.acknowledgedEnd)
            request.leaseUntilMs?.let { put("deadlineMs", it) }
            if (request.waitMs > 0) put("waitMs", request.waitMs)
        }
        val timeoutMs = request.waitMs + settings.reportAnswerMs
        call(worker, "/hold", body, timeoutMs) { onResult(reportResult(worker.workerId, it)) }
    }

    private fun reportResult(workerId: String, outcome: CallOutcome): ReportResult =
        when (outcome) {
            is CallOutcome.NotSent -> ReportResult.Failed(outcome.reason)
            is CallOutcome.Unanswered -> ReportResult.Failed(outcome.reason)
            is CallOutcome.Answered -> when (outcome.status) {
                OK -> try {
                    val report = decodeRunReport(outcome.body) { rows, problem ->
                        rejected.record(BodyKind.RUN_REPORT, workerId, problem, rows)
                    }
                    ReportResult.Reported(report)
                } catch (e: MalformedBody) {
                    rejected.record(BodyKind.RUN_REPORT, workerId, e.problem)
                    ReportResult.Failed("unreadable lists: ${e.problem}")
                }
                OTHER_BOOT -> ReportResult.OtherBoot
                else -> ReportResult.Failed(
                    "status ${outcome.status}: ${outcome.body.decodeToString().take(MAX_LOGGED)}"
                )
            }
        }

    private fun call(
        worker: PushWorker,
        path: String,
        body: JsonObject,
        timeoutMs: Long,
        onResult: (CallOutcome) -> Unit
    ) {
        val headers = mapOf("Expect-Instance" to worker.workerId)
        val call =
            OutgoingCall("POST", path, body.toString().encodeToByteArray(), timeoutMs, headers)
        http.call(worker.address, call, onResult)
    }

    /** Asks the adviser at [address] which of [workers] may run the step. */
    fun askAdvice(
        address: String,
        stepId: StepId,
        workers: List<String>,
        onResult: (AdviceResult) -> Unit
    ) {
        val body = buildJsonObject {
            put("step", stepId.wireName)
            putJsonArray("workers") { workers.forEach { add(it) } }
        }
        val bytes = body.toString().encodeToByteArray()
        http.call(address, OutgoingCall("POST", "/advise", bytes, ADVICE_TIMEOUT_MS)) {
            onResult(adviceResult(stepId, it))
        }
    }

    private fun adviceResult(stepId: StepId, outcome: CallOutcome): AdviceResult = when (outcome) {
        is CallOutcome.NotSent -> AdviceResult.Failed(outcome.reason)
        is CallOutcome.Unanswered -> AdviceResult.Failed(outcome.reason)
        is CallOutcome.Answered -> when (outcome.status) {
            OK -> tickets(stepId, outcome.body)
            OVERLOADED -> AdviceResult.Busy
            else -> AdviceResult.Failed("status ${outcome.status}")
        }
    }

    private fun tickets(stepId: StepId, body: ByteArray): AdviceResult = try {
        decodeTickets(body) { rows, problem ->
            rejected.record(BodyKind.ADVICE, stepId.wireName, problem, rows)
        }
    } catch (e: MalformedBody) {
        rejected.record(BodyKind.ADVICE, stepId.wireName, e.problem)
        AdviceResult.Failed("unreadable advice: ${e.problem}")
    }

    private companion object {
        const val ADVICE_TIMEOUT_MS = 10_000L
        const val MAX_LOGGED = 200
    }
}
