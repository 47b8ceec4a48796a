package dev.jackdawdale.control

import dev.jackdawdale.model.HostId
import dev.jackdawdale.wire.ControlMessage

/** Answers leader lookups of entry hosts. Confined to the control thread. */
internal class LeaderLookups {
    private val waiting = LinkedHashSet<SessionLink>()

    /**
     * Tells an entry host who leads. If it is not this replica, the host is notified once this
     * replica becomes leader.
     *
     * @param ownTerm the term in which this replica leads, or null
     */
    fun answer(link: SessionLink, ownTerm: Long?, leader: HostId?) {
        if (ownTerm != null) return link.send(ControlMessage.Leads(ownTerm))
        waiting += link
        link.send(ControlMessage.NotLeader(leader))
    }

    /** Notifies all waiting entry hosts that this replica leads. */
    fun becameLeader(term: Long) {
        waiting.forEach { it.send(ControlMessage.Leads(term)) }
        waiting.clear()
    }

    fun linkClosed(link: SessionLink) {
        waiting -= link
    }
}
