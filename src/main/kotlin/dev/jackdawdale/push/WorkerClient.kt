package dev.jackdawdale.push

import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId

/**
 * An order to start one run.
 *
 * @property validUntilMs time on the worker's clock after which the worker must refuse the order
 * @property fencingToken token of the process that the order is for ([FencingTokens])
 * @property checkpoint where the run continues, or empty
 * @property ticket proof that the queue's policy allows the worker, or empty
 */
internal data class StartOrder(
    val taskId: StageTaskId,
    val run: Int,
    val payload: String,
    val validUntilMs: Long,
    val fencingToken: Long,
    val checkpoint: String,
    val ticket: String
)

/** Why a worker refused an order; the run does not start. */
internal enum class StartRefusal {
    /** The worker has seen a higher fencing token: of a newer leader or for a later process. */
    OLD_TOKEN,

    /** The same or a newer run was stopped or has ended there. */
    OLD_RUN,

    /** The order had expired when it arrived. */
    TOO_LATE,
    NO_ROOM,
    NO_TICKET,
    MALFORMED,
    UNHEALTHY
}

/** Result of a start order. */
internal sealed interface StartResult {
    /**
     * The run has started, or had already.
     *
     * @property clockMs clock of the process that answered, or null when the answer doesn't tell
     */
    data class Started(val clockMs: Long? = null) : StartResult

    /** A later process under the worker's id has started the run. */
    data object LaterProcess : StartResult

    data class Refused(val refusal: StartRefusal) : StartResult

    /** Another process answers at the worker's address. */
    data object OtherBoot : StartResult

    /** Nothing was sent. */
    data object NotSent : StartResult

    /** No usable answer: the order may take effect now or later. */
    data class Unknown(val reason: String) : StartResult
}

/**
 * Whether another process than the one that was sent the order answered, when that one had last
 * shown [sentClockMs]. A clock never goes back, and begins anew with each process.
 */
internal fun StartResult.isOfLaterProcess(sentClockMs: Long?): Boolean =
    this is StartResult.Started && clockMs != null && sentClockMs != null && clockMs < sentClockMs

/** Result of a stop order. */
internal enum class StopResult { ACCEPTED, OTHER_BOOT, UNKNOWN }

/** A run that a worker reports as running. */
internal data class ListedRun(
    val taskId: StageTaskId,
    val run: Int,
    val checkpoint: String,
    val percent: Int
)

/**
 * How a run ended, as its worker reports it. LAPSED: its lease expired; BROKEN: its gang broke;
 * ALONE: its gang was never complete.
 */
internal enum class ListedEnd { DONE, FAILED, STOPPED, LAPSED, BROKEN, ALONE }

/** An ended run in a worker's report; [number] increases within a boot. */
internal data class EndedRun(
    val number: Long,
    val taskId: StageTaskId?,
    val run: Int,
    val end: ListedEnd,
    val checkpoint: String
)

/**
 * A worker's running and ended runs.
 *
 * @property hasMoreEnds the worker may have further ends that are not in this report
 * @property unclear tasks of running rows that can't be read otherwise: they may be running
 */
internal data class RunReport(
    val boot: Long?,
    val clockMs: Long,
    val running: List<ListedRun>,
    val ended: List<EndedRun>,
    val hasMoreEnds: Boolean = false,
    val unclear: Set<StageTaskId> = emptySet()
)

/**
 * Requests a report from a worker and extends its lease.
 *
 * @property fencingToken token of the process that is asked ([FencingTokens])
 * @property leaseUntilMs time on the worker's clock, or null to leave the lease unchanged
 * @property acknowledgedEnd ends up to this number are durable; the worker may discard them
 * @property waitMs how long the worker may delay its answer until a run ends
 */
internal data class ReportRequest(
    val fencingToken: Long,
    val leaseUntilMs: Long?,
    val acknowledgedEnd: Long,
    val waitMs: Long
)

/** Result of a [ReportRequest]. */
internal sealed interface ReportResult {
    data class Reported(val report: RunReport) : ReportResult

    data object OtherBoot : ReportResult

    data class Failed(val reason: String) : ReportResult
}

/** Calls to workers; each result callback is called once, on any thread. */
internal class WorkerClient(
    val start: (PushWorker, StartOrder, (StartResult) -> Unit) -> Unit,
    val stop: (
        PushWorker,
        StageTaskId,
        run: Int,
        fencingToken: Long,
        (StopResult) -> Unit
    ) -> Unit,
    val report: (PushWorker, ReportRequest, (ReportResult) -> Unit) -> Unit
)
