package dev.jackdawdale.wire

import dev.jackdawdale.model.AttemptResult

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

/** Estimated size of a queued message: its bodies and a fixed overhead. */
internal fun EntryMessage.weightBytes(): Long = MESSAGE_OVERHEAD_BYTES + when (this) {
    is EntryMessage.CommandCall -> (command as? Command.SubmitRequest)?.body?.sizeBytes ?: 0
    is EntryMessage.AttemptFinished ->
        (result as? AttemptResult.Answered)?.answer?.body?.sizeBytes ?: 0
    else -> 0
}
