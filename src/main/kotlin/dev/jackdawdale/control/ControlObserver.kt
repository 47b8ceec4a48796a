package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.Refusal

/**
 * A batch that became durable.
 *
 * @property soft the leader's soft state now, or null when this replica follows
 */
internal class CommittedBatch(
    val batch: EventBatch,
    val before: CellState,
    val after: CellState,
    val soft: SoftState?
)

/**
 * What the control loop tells metrics, logs and the timeline. All functions are called on the
 * control thread and must return quickly.
 *
 * @property committed a batch became durable and was applied
 * @property refused a command was refused; nothing ran
 * @property passFinished a pass took that many nanoseconds
 * @property roleChanged this replica became leader (true) or follower in a term
 */
internal data class ControlObserver(
    val committed: (CommittedBatch) -> Unit = {},
    val refused: (Refusal) -> Unit = {},
    val passFinished: (nanos: Long) -> Unit = {},
    val roleChanged: (leading: Boolean, term: Long) -> Unit = { _, _ -> }
)
