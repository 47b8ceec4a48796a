package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.StageTaskId

/** What the leader knows of an order to start. */
internal sealed interface StartState {
    /** The placement is not durable yet, so nothing was sent. */
    data object Unsent : StartState

    /** An earlier leader placed the run. */
    data object Inherited : StartState

    /** Sent, and not confirmed; it can take effect until [expiresAtMs] on the worker's clock. */
    data class Sent(val expiresAtMs: Long) : StartState

    /** The worker has confirmed the run. */
    data class Confirmed(val atMs: Long) : StartState
}

/**
 * A run that holds room on a worker.
 *
 * @property counted what it takes of the worker's capacity
 * @property stopAnsweredMs when the worker accepted a stop for it, or null
 * @property resumed whether the run went on from a checkpoint
 * @property checkpoint the last one that the worker listed
 */
internal data class HeldRun(
    val taskId: StageTaskId,
    val placement: RunPlacement,
    val counted: Resources,
    val start: StartState,
    val stopWanted: Boolean = false,
    val stopSentMs: Long? = null,
    val stopAnsweredMs: Long? = null,
    val checkpoint: String = "",
    val percent: Int = 0,
    val progressMs: Long = placement.placedAtMs,
    val resumed: Boolean = false
)
