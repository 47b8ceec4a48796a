package dev.jackdawdale.replica

import dev.jackdawdale.model.Blob
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.EntryKind
import dev.jackdawdale.raft.MAX_MESSAGE_PAYLOAD_BYTES

/** Splits a command into one or more parts that each fit one message. */
internal fun commandParts(payload: ByteArray): List<Blob> {
    if (payload.size <= MAX_MESSAGE_PAYLOAD_BYTES) return listOf(Blob(payload))
    return (payload.indices step MAX_MESSAGE_PAYLOAD_BYTES).map { from ->
        val to = minOf(payload.size, from + MAX_MESSAGE_PAYLOAD_BYTES)
        Blob(payload.copyOfRange(from, to))
    }
}

/** Reassembles commands from their parts. */
internal class CommandAssembler {
    private val parts = mutableListOf<Blob>()
    private var partsTerm = 0L

    /** True between the parts of a command; no snapshot may be taken then. */
    val isPartial: Boolean get() = parts.isNotEmpty()

    /** Takes the next committed entry; returns the whole command that it completes, or null. */
    fun add(entry: Entry): ByteArray? {
        // A leader that failed between two parts left an incomplete command.
        if (entry.term != partsTerm) parts.clear()
        partsTerm = entry.term
        return when (entry.kind) {
            EntryKind.COMMAND_PART -> {
                parts += entry.payload
                null
            }

            EntryKind.COMMAND -> complete(entry.payload)

            EntryKind.NO_OP, EntryKind.MEMBERS -> null
        }
    }

    fun clear() = parts.clear()

    private fun complete(last: Blob): ByteArray {
        if (parts.isEmpty()) return last.bytes
        val command = ByteArray(parts.sumOf { it.sizeBytes } + last.sizeBytes)
        var offset = 0
        for (part in parts + last) {
            part.bytes.copyInto(command, offset)
            offset += part.sizeBytes
        }
        parts.clear()
        return command
    }
}
