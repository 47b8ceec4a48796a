package dev.jackdawdale.push

import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId

/**
 * An order to start one run.
 *
 * @property validUntilMs time on the worker's clock after which the worker must refuse the order
 * @property term fencing token: the term of the leader that gives the order
 * @property checkpoint where the run goes on, or empty
 * @property ticket proof that the queue's policy allows the worker, or empty
 */
internal data class StartOrder(
    val taskId: StageTaskId,
    val run: Int,
    val payload: String,
    val validUntilMs: Long,
    val term: Long,
    val checkpoint: String,
    val ticket: String
)

/** Why a worker refused an order; the run does not start. */
internal enum class StartRefusal {
    /** A newer leader has given orders. */
    OLD_TERM,

    /** The same or a newer run was stopped or has ended there. */
    OLD_RUN,

    /** The order arrived after its last valid time. */
    TOO_LATE,
    NO_ROOM,
    NO_TICKET,
    MALFORMED,
    UNHEALTHY
}

/** What came of a start order. */
internal sealed interface StartResult {
    data object Started : StartResult

    data class Refused(val refusal: StartRefusal) : StartResult

    /** Another process answers at the worker's address. */
    data object OtherBoot : StartResult

    /** No byte was sent. */
    data object NotSent : StartResult

    /** The order may take effect, now or later. */
    data class Unknown(val reason: String) : StartResult
}

/** What came of a stop order. */
internal enum class StopResult { ACCEPTED, OTHER_BOOT, UNKNOWN }

/** One run in a worker's list. */
internal data class ListedRun(
    val taskId: StageTaskId,
    val run: Int,
    val checkpoint: String,
    val percent: Int
)

/** How a run ended, as its worker lists it. */
internal enum class ListedEnd { DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE }

/** One end in a worker's list; [number] rises within a boot. */
internal data class EndedRun(
    val number: Long,
    val taskId: StageTaskId?,
    val run: Int,
    val end: ListedEnd,
    val checkpoint: String
)

/**
 * What a worker says it runs.
 *
 * @property hasMoreEnds there may be ends that this report leaves out
 */
internal data class RunReport(
    val boot: Long?,
    val clockMs: Long,
    val running: List<ListedRun>,
    val ended: List<EndedRun>,
    val hasMoreEnds: Boolean = false
)

/**
 * Asks a worker for its lists and extends its lease.
 *
 * @property leaseUntilMs time on the worker's clock, or null to leave the lease as it is
 * @property acknowledgedEnd ends up to this number are durable here and may be forgotten
 * @property waitMs how long the answer may wait for an end
 */
internal data class ReportQuestion(
    val term: Long,
    val leaseUntilMs: Long?,
    val acknowledgedEnd: Long,
    val waitMs: Long
)

/** What came of a [ReportQuestion]. */
internal sealed interface ReportResult {
    data class Reported(val report: RunReport) : ReportResult

    data object OtherBoot : ReportResult

    data class Failed(val reason: String) : ReportResult
}

/** The calls to workers; each result function is called once, on any thread. */
internal class WorkerCalls(
    val start: (PushWorker, StartOrder, (StartResult) -> Unit) -> Unit,
    val stop: (PushWorker, StageTaskId, run: Int, term: Long, (StopResult) -> Unit) -> Unit,
    val report: (PushWorker, ReportQuestion, (ReportResult) -> Unit) -> Unit
)
