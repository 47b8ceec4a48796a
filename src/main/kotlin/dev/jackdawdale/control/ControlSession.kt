package dev.jackdawdale.control

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.HostId
import dev.jackdawdale.wire.ControlMessage

/** The connection to one entry host; implemented by the transport. */
internal interface SessionLink {
    val hostId: HostId

    /** Queues a message; never blocks. A full queue closes the connection. */
    fun send(message: ControlMessage)

    fun close()
}

/**
 * An entry host's session with this leader. Confined to the control thread.
 *
 * @property incarnation incarnation of the entry host's process
 * @property sentVersions last contract version sent in this session, by customer
 */
internal class ControlSession(val link: SessionLink, val incarnation: Long) {
    var draining: Boolean = false
    var sentVersions: Map<CustomerId, Long> = emptyMap()
}
