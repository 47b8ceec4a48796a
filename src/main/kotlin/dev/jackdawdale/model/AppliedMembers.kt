package dev.jackdawdale.model

import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentHashMapOf

internal fun CellState.applyEndpointJoined(event: Event.EndpointJoined): CellState {
    val info = event.info
    val known = endpoints[info.endpointId]
    val sameProcess = known != null && known.info.incarnation == info.incarnation
    val joined = when {
        known == null -> Endpoint(info)
        sameProcess -> known.copy(info = info)
        else -> known.copy(
            info = info,
            phase = phaseAfterRestart(known.phase),
            abandoned = persistentHashMapOf()
        )
    }
    return copy(endpoints = endpoints.put(info.endpointId, joined))
}

/** The phase after a restart: stopped if an operator stopped the endpoint, otherwise active. */
internal fun phaseAfterRestart(phase: EndpointPhase): EndpointPhase =
    if (phase == EndpointPhase.STOPPED) EndpointPhase.STOPPED else EndpointPhase.ACTIVE

internal fun CellState.applyEndpointPhaseChanged(event: Event.EndpointPhaseChanged): CellState {
    val endpoint = endpoints[event.endpointId] ?: return this
    if (endpoint.info.incarnation != event.incarnation) return this
    return withEndpoint(endpoint.copy(phase = event.phase))
}

internal fun CellState.applyAbandonedSlotsFreed(event: Event.AbandonedSlotsFreed): CellState {
    val endpoint = endpoints[event.endpointId] ?: return this
    if (endpoint.info.incarnation != event.incarnation) return this
    return withEndpoint(endpoint.copy(abandoned = endpoint.abandoned - event.tokens))
}

/** Stores [endpoint], or removes it when it is gone and nothing can run on it any more. */
internal fun CellState.withEndpoint(endpoint: Endpoint): CellState {
    val id = endpoint.info.endpointId
    val isRemovable = endpoint.phase == EndpointPhase.GONE && endpoint.heldSlots == 0
    return copy(endpoints = if (isRemovable) endpoints - id else endpoints.put(id, endpoint))
}

internal fun CellState.applyWorkerJoined(event: Event.WorkerJoined): CellState {
    val info = event.info
    val known = workers[info.workerId]
    val joined = when {
        known == null -> Worker(info)
        known.phase == WorkerPhase.LOST -> known.copy(info = info, phase = WorkerPhase.ACTIVE)
        else -> known.copy(info = info)
    }
    return copy(workers = workers.put(info.workerId, joined))
}

internal fun CellState.applyWorkerPhaseChanged(event: Event.WorkerPhaseChanged): CellState {
    val worker = workers[event.workerId] ?: return this
    if (worker.info.incarnation != event.incarnation) return this
    if (event.phase == WorkerPhase.LOST && worker.taskIds.isEmpty()) {
        return copy(workers = workers - event.workerId)
    }
    return copy(workers = workers.put(event.workerId, worker.copy(phase = event.phase)))
}
