package dev.jackdawdale.control

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.HostId
import dev.jackdawdale.wire.ControlMessage

/** The connection of one entry host; implemented by the transport. */
internal interface SessionLink {
    val hostId: HostId

    /** Queues a message; never blocks. A full queue closes the connection. */
    fun send(message: ControlMessage)

    fun close()
}

/**
 * An entry host's session with this leader. Only the control thread touches it.
 *
 * @property incarnation of the entry host's process
 * @property sentVersions contract versions that the entry host was sent
 */
internal class ControlSession(val link: SessionLink, val incarnation: Long) {
    var draining: Boolean = false
    var sentVersions: Map<CustomerId, Long> = emptyMap()
}
