package dev.jackdawdale.records

import dev.jackdawdale.model.Blob
import dev.jackdawdale.raft.RecordPart

/** Collects the parts of one record that a peer sends. */
internal class RecordIntake(val number: Long) {
    private var bytes = ByteArray(0)

    val sizeBytes: Int get() = bytes.size

    /** Adds a part that fits; returns the encoded record when it is whole. */
    fun add(part: RecordPart): ByteArray? {
        if (part.number != number || part.offset != bytes.size) return null
        bytes += part.data.bytes
        return bytes.takeIf { it.size == part.totalBytes }
    }
}

/** Cuts stored records into parts of together at most [maxBytes], from [position] on. */
internal fun recordParts(
    position: RecordPosition,
    maxBytes: Int,
    read: (Long) -> StoredRecord?
): List<RecordPart> {
    val parts = mutableListOf<RecordPart>()
    var room = maxBytes
    var number = position.number
    var offset = position.offset
    while (room > 0 && parts.size < MAX_PARTS) {
        val stored = read(number) ?: return parts
        val size = stored.encoded.size
        if (offset > size) return parts
        val end = minOf(size, offset + room)
        val data = Blob(stored.encoded.copyOfRange(offset, end))
        parts += RecordPart(number, offset, size, stored.chainHash, data)
        room -= data.sizeBytes
        number++
        offset = 0
    }
    return parts
}

/** Bounds the encoded size of a message of many small records. */
private const val MAX_PARTS = 2_000
