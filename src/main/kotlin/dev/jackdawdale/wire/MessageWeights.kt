package dev.jackdawdale.wire

import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.Refusal

/** Estimated size of a queued message: its bodies and a fixed overhead. */
internal fun ControlMessage.weightBytes(): Long = MESSAGE_OVERHEAD_BYTES + when (this) {
    is ControlMessage.Dispatch -> body.sizeBytes
    is ControlMessage.RequestEnded -> answer?.body?.sizeBytes ?: 0
    is ControlMessage.ReplyTo -> reply.bodyBytes()
    else -> 0
}

private fun Reply.bodyBytes(): Int = when (this) {
    is Reply.Work -> status.answer?.body?.sizeBytes ?: 0
    is Reply.Records -> records.sumOf { it.answer?.body?.sizeBytes ?: 0 }
    else -> 0
}

/**
 * The refusal that replaces the reply to a query when it is larger than a frame; without it the
 * caller would wait until its timeout. A query runs nothing, so a refusal of it is always true.
 */
internal fun ControlMessage.insteadOfOversized(): ControlMessage? {
    if (this !is ControlMessage.ReplyTo || reply is Reply.Work) return null
    val problem = "the reply is larger than a frame; ask for less at once"
    return ControlMessage.ReplyTo(callId, Reply.Refused(Refusal.Invalid("limit", problem)))
}

/** Estimated size of a queued message: its bodies and a fixed overhead. */
internal fun EntryMessage.weightBytes(): Long = MESSAGE_OVERHEAD_BYTES + when (this) {
    is EntryMessage.CommandCall -> (command as? Command.SubmitRequest)?.body?.sizeBytes ?: 0
    is EntryMessage.AttemptFinished ->
        (result as? AttemptResult.Answered)?.answer?.body?.sizeBytes ?: 0
    else -> 0
}
