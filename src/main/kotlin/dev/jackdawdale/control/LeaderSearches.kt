package dev.jackdawdale.control

import dev.jackdawdale.model.HostId
import dev.jackdawdale.wire.ControlMessage

/** Entry hosts that search for the leader at this replica. Only the control thread touches it. */
internal class LeaderSearches {
    private val waiting = LinkedHashSet<SessionLink>()

    /**
     * Tells an entry host who leads; while it is not this replica, it is told again by [leads].
     *
     * @param ownTerm the term that this replica leads, or null
     */
    fun asked(link: SessionLink, ownTerm: Long?, leader: HostId?) {
        if (ownTerm != null) return link.send(ControlMessage.Leads(ownTerm))
        waiting += link
        link.send(ControlMessage.NotLeader(leader))
    }

    /** This replica leads from now on. */
    fun leads(term: Long) {
        waiting.forEach { it.send(ControlMessage.Leads(term)) }
        waiting.clear()
    }

    fun closed(link: SessionLink) {
        waiting -= link
    }
}
