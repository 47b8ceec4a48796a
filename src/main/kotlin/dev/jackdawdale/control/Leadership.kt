package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EventBatch

/**
 * A proposed log entry that waits for its commit.
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
 * What a replica holds while it leads.
 *
 * @property state all proposed batches applied
 * @property endpointHeardMs when each endpoint announced itself last
 */
internal class Leadership(val term: Long, var state: CellState, var soft: SoftState, nowMs: Long) {
    val proposed = ArrayDeque<ProposedBatch>()
    val endpointHeardMs = HashMap<EndpointId, Long>(state.endpoints.keys.associateWith { nowMs })
}
