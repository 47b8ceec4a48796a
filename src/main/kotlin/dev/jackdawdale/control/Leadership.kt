package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EventBatch

/**
 * A log entry that was proposed but is not committed.
 *
 * @property after the leader's state with the batch applied
 */
internal class ProposedBatch(
    val index: Long,
    val batch: EventBatch,
    val after: CellState,
    pass: Pass
) {
    val records = pass.records
    val effects = pass.effects.toMutableList()
}

/**
 * The state of a replica for one term as leader.
 *
 * @property state the state with all proposed batches applied
 * @property endpointHeardMs time of the last announcement of each endpoint
 */
internal class Leadership(val term: Long, var state: CellState, var soft: SoftState, nowMs: Long) {
    val proposed = ArrayDeque<ProposedBatch>()
    val endpointHeardMs = HashMap<EndpointId, Long>(state.endpoints.keys.associateWith { nowMs })
}
