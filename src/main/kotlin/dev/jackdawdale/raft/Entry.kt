package dev.jackdawdale.raft

import dev.jackdawdale.model.Blob
import kotlinx.serialization.Serializable

/** What an entry holds. The ordinal is the byte stored in log files. */
@Serializable
internal enum class EntryKind {
    /** Starts a term; it lets a new leader commit the entries of earlier terms. */
    NO_OP,

    /** A whole command, or the last part of one. */
    COMMAND,

    /** A part of a command that continues in the next entry of the same term. */
    COMMAND_PART,

    /** A [Membership]. */
    MEMBERS
}

/** One entry of the replicated log. */
@Serializable
internal data class Entry(val index: Long, val term: Long, val kind: EntryKind, val payload: Blob)

/** Size of the entry in a message, in bytes; [ENTRY_OVERHEAD_BYTES] bounds the encoded header. */
internal val Entry.sizeBytes: Int get() = payload.sizeBytes + ENTRY_OVERHEAD_BYTES

private const val ENTRY_OVERHEAD_BYTES = 64
