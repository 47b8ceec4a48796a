package dev.jackdawdale.membership

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.phaseAfterRestart

/**
 * Decides what an endpoint's announcement changes. A delayed announcement of an older incarnation
 * is ignored.
 */
internal fun decideEndpointAnnouncement(
    state: CellState,
    info: EndpointInfo,
    leaving: Boolean
): List<Event> {
    val known = state.endpoints[info.endpointId]
    if (known == null) return if (leaving) emptyList() else listOf(Event.EndpointJoined(info))
    if (info.incarnation < known.info.incarnation) return emptyList()
    val restarted = info.incarnation > known.info.incarnation
    val joined = if (known.info == info) emptyList() else listOf(Event.EndpointJoined(info))
    val currentPhase = if (restarted) phaseAfterRestart(known.phase) else known.phase
    return joined + phaseChange(info, currentPhase, phaseAfter(currentPhase, leaving))
}

private fun phaseAfter(phase: EndpointPhase, leaving: Boolean): EndpointPhase = when {
    leaving && phase != EndpointPhase.STOPPED -> EndpointPhase.DRAINING
    phase == EndpointPhase.GONE -> EndpointPhase.ACTIVE
    else -> phase
}

private fun phaseChange(info: EndpointInfo, from: EndpointPhase, to: EndpointPhase): List<Event> =
    if (from == to) {
        emptyList()
    } else {
        listOf(Event.EndpointPhaseChanged(info.endpointId, info.incarnation, to))
    }

/** Marks endpoints last heard before [cutoffMs] as gone, so that they get no new work. */
internal fun decideSilentEndpoints(
    state: CellState,
    lastHeardMs: Map<EndpointId, Long>,
    cutoffMs: Long
): List<Event> = state.endpoints.values
    .filter { it.phase != EndpointPhase.GONE && it.phase != EndpointPhase.STOPPED }
    .filter { (lastHeardMs[it.info.endpointId] ?: Long.MIN_VALUE) < cutoffMs }
    .map {
        Event.EndpointPhaseChanged(it.info.endpointId, it.info.incarnation, EndpointPhase.GONE)
    }
