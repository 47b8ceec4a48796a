package dev.jackdawdale.control

import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.Reply

/** One call of an entry host that waits for its reply. */
internal data class CallContext(val session: ControlSession, val callId: Long)

internal fun CallContext.reply(reply: Reply) =
    session.link.send(ControlMessage.ReplyTo(callId, reply))
