package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId

/** State of a start order at the leader. */
internal sealed interface StartState {
    /** Not sent, because the placement is not durable yet. */
    data object Unsent : StartState

    /** The run was placed by an earlier leader. */
    data object Inherited : StartState

    /**
     * Placed on an earlier process under the worker's id, which may run it until [untilMs]. An
     * order for that process may still reach this one.
     *
     * @property hasStarted see [HeldRun.hasStarted]
     * @property hasFailed whether a later process has listed the run as failed
     */
    data class OfEarlierProcess(
        val untilMs: Long,
        val hasStarted: Boolean,
        val hasFailed: Boolean = false
    ) : StartState

    /** Sent and not confirmed; can take effect until [expiresAtMs] on the worker's clock. */
    data class Sent(val expiresAtMs: Long) : StartState

    /** Confirmed by the worker. */
    data class Confirmed(val atMs: Long) : StartState
}

/** Whether a process of the worker has shown this leader that the run has started. */
internal val HeldRun.hasStarted: Boolean
    get() = when (start) {
        StartState.Unsent, StartState.Inherited, is StartState.Sent -> false
        is StartState.OfEarlierProcess -> start.hasStarted
        is StartState.Confirmed -> true
    }

/** The result of the run when its process is gone and has listed no end of it. */
internal val HeldRun.resultLost: RunResult
    get() = when {
        start is StartState.OfEarlierProcess && start.hasFailed -> RunResult.FAILED
        hasStarted -> RunResult.INTERRUPTED
        start == StartState.Unsent -> RunResult.NEVER_RAN
        else -> RunResult.UNCONFIRMED
    }

/** The run at a process that has the id of the one on which it was placed. */
internal fun HeldRun.ofEarlierProcess(leasedUntilMs: Long): HeldRun {
    val earlier = start as? StartState.OfEarlierProcess
    return copy(
        start = StartState.OfEarlierProcess(
            maxOf(earlier?.untilMs ?: 0, leasedUntilMs),
            hasStarted,
            earlier?.hasFailed ?: false
        ),
        stopRequested = true,
        stopSentMs = null,
        stopAcceptedMs = null
    )
}

/**
 * A run that occupies capacity on a worker.
 *
 * @property reserved capacity that it occupies
 * @property orderUnanswered whether a start order for it got no answer: it may take effect later
 * @property stopAcceptedMs when the worker accepted a stop for it, or null
 * @property checkpoint the last one that the worker listed
 * @property progressMs when [percent] changed last
 * @property resumed whether the run continued from a checkpoint
 * @property estimatedMs declared run time; 0 when the job declares none
 */
internal data class HeldRun(
    val taskId: StageTaskId,
    val placement: RunPlacement,
    val reserved: Resources,
    val start: StartState,
    val orderUnanswered: Boolean = false,
    val stopRequested: Boolean = false,
    val stopSentMs: Long? = null,
    val stopAcceptedMs: Long? = null,
    val checkpoint: String = "",
    val percent: Int = 0,
    val progressMs: Long = placement.placedAtMs,
    val resumed: Boolean = false,
    val estimatedMs: Long = 0
)
