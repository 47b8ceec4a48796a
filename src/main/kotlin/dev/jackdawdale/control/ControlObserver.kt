package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EventBatch

/**
 * What the control loop tells metrics, logs and the timeline. All functions are called on the
 * control thread and must return quickly.
 *
 * @property committed a batch became durable and was applied
 * @property passFinished a pass took [nanos][Long] and decided that many events
 * @property roleChanged this replica became leader (true) or follower in a term
 */
internal data class ControlObserver(
    val committed: (EventBatch, before: CellState, after: CellState) -> Unit = { _, _, _ -> },
    val passFinished: (nanos: Long, events: Int) -> Unit = { _, _ -> },
    val roleChanged: (leading: Boolean, term: Long) -> Unit = { _, _ -> }
)
