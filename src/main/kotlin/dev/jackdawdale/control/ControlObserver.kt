package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.Refusal

/**
 * A committed batch.
 *
 * @property soft the leader's current soft state, or null on a follower
 */
internal class CommittedBatch(
    val batch: EventBatch,
    val before: CellState,
    val after: CellState,
    val soft: SoftState?
)

/**
 * Callbacks of the control loop for metrics, logs and the timeline. All are called on the control
 * thread and must return quickly.
 *
 * @property committed a batch was committed and applied
 * @property refused a command was refused and nothing ran
 * @property passFinished a pass ended, with its duration in nanoseconds
 * @property quorumLost whether too few replicas have their disks for a leader to be elected
 * @property toleratedLosses how many more replicas the cell can lose and still have a quorum; null
 *   when this replica does not lead
 * @property roleChanged this replica became leader (true) or follower (false) in a term
 */
internal data class ControlObserver(
    val committed: (CommittedBatch) -> Unit = {},
    val refused: (Refusal) -> Unit = {},
    val passFinished: (nanos: Long) -> Unit = {},
    val roleChanged: (leading: Boolean, term: Long) -> Unit = { _, _ -> },
    val quorumLost: (Boolean) -> Unit = {},
    val toleratedLosses: (Int?) -> Unit = {}
)
