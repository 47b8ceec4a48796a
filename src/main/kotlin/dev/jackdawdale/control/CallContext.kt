package dev.jackdawdale.control

import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.Reply

/** A call from an entry host that has no reply yet. */
internal data class CallContext(val session: ControlSession, val callId: Long)

internal fun CallContext.reply(reply: Reply) =
    session.link.send(ControlMessage.ReplyTo(callId, reply))
