package dev.jackdawdale.wire

import dev.jackdawdale.model.HostId

/** A session with an entry host, on the control side. */
internal interface ControlSession {
    val hostId: HostId

    /** Incarnation of the entry host, authenticated in the handshake. */
    val incarnation: Long

    /** Queues [message]; false when the session is closed. Never blocks. */
    fun send(message: ControlMessage): Boolean

    /** Closes the session after sending the queued messages; delivers no further message. */
    fun close()
}

internal class LinkSession(val link: FrameLink<EntryMessage, ControlMessage>) : ControlSession {
    override val hostId: HostId = link.peer.hostId
    override val incarnation: Long = link.peer.incarnation

    override fun send(message: ControlMessage): Boolean = link.send(message)

    override fun close() = link.closeAfterQueue("closed by the control side")
}

/**
 * The open sessions, at most one for each entry host.
 *
 * No message of an older session is delivered once a newer session of the same host has begun.
 * Otherwise a command could be accepted after its resend was refused, and work that was reported
 * as not run would run.
 */
internal class SessionTable(
    private val onMessage: (ControlSession, EntryMessage) -> Unit,
    private val onClosed: (ControlSession) -> Unit
) {
    private val byHost = HashMap<HostId, LinkSession>()

    suspend fun run(session: LinkSession) {
        if (!begin(session)) return session.link.closeFlushed("a newer session of the host exists")
        try {
            session.link.run { message -> deliver(session, message) }
        } finally {
            end(session)
        }
    }

    @Synchronized
    fun closeAll(reason: String) = byHost.values.forEach { it.link.close(reason) }

    @Synchronized
    private fun begin(session: LinkSession): Boolean {
        val older = byHost[session.hostId]
        if (older != null && older.incarnation > session.incarnation) return false
        byHost[session.hostId] = session
        if (older != null) {
            older.link.close("replaced by a newer session")
            onClosed(older)
        }
        return true
    }

    @Synchronized
    private fun deliver(session: LinkSession, message: EntryMessage) {
        if (byHost[session.hostId] === session) onMessage(session, message)
    }

    @Synchronized
    private fun end(session: LinkSession) {
        if (byHost.remove(session.hostId, session)) onClosed(session)
    }
}
