package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.HostId
import dev.jackdawdale.wire.ControlMessage

/** The sessions of entry hosts with this leader. Confined to the control thread. */
internal class ControlSessions {
    private var byHost: Map<HostId, ControlSession> = emptyMap()

    /** Time of the last message by host; starts at the leader change for replicated hosts. */
    private var lastHeardMs: Map<HostId, Long> = emptyMap()

    val all: Collection<ControlSession> get() = byHost.values

    fun reset(state: CellState, nowMs: Long) {
        byHost = emptyMap()
        lastHeardMs = state.entryHosts.keys.associateWith { nowMs }
    }

    fun open(session: ControlSession, nowMs: Long) {
        val hostId = session.link.hostId
        byHost[hostId]?.takeIf { it.link !== session.link }?.link?.close()
        byHost = byHost + (hostId to session)
        lastHeardMs = lastHeardMs + (hostId to nowMs)
    }

    /** The session over [link], or null if it was closed or replaced by a newer one. */
    fun of(link: SessionLink): ControlSession? = byHost[link.hostId]?.takeIf { it.link === link }

    fun of(hostId: HostId): ControlSession? = byHost[hostId]

    fun heard(session: ControlSession, nowMs: Long) {
        lastHeardMs = lastHeardMs + (session.link.hostId to nowMs)
    }

    fun closed(link: SessionLink) {
        if (of(link) != null) byHost = byHost - link.hostId
    }

    /** Hosts that may receive new dispatches: connected and not draining. */
    fun dispatchable(): Set<HostId> = byHost.filterValues { !it.draining }.keys

    /** Hosts whose last message came before [beforeMs]. */
    fun silentSince(beforeMs: Long): Set<HostId> = lastHeardMs.filterValues { it < beforeMs }.keys

    fun forget(hostId: HostId) {
        byHost[hostId]?.link?.close()
        byHost = byHost - hostId
        lastHeardMs = lastHeardMs - hostId
    }

    fun closeAll(notice: ControlMessage) {
        byHost.values.forEach {
            it.link.send(notice)
            it.link.close()
        }
        byHost = emptyMap()
    }
}
