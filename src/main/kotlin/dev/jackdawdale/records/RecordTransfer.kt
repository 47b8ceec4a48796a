package dev.jackdawdale.records

import dev.jackdawdale.model.Blob
import dev.jackdawdale.raft.RecordPart

/** Assembles one record from the parts that a peer sends. */
internal class RecordAssembler(val number: Long) {
    private var bytes = ByteArray(0)

    val sizeBytes: Int get() = bytes.size

    /** Adds the next part, ignoring any other; returns the encoded record once it is complete. */
    fun add(part: RecordPart): ByteArray? {
        if (part.number != number || part.offset != bytes.size) return null
        bytes += part.data.bytes
        return bytes.takeIf { it.size == part.totalBytes }
    }
}

/** Splits stored records from [position] on into parts of at most [maxBytes] in total. */
internal fun recordParts(
    position: RecordPosition,
    maxBytes: Int,
    read: (Long) -> StoredRecord?
): List<RecordPart> {
    val parts = mutableListOf<RecordPart>()
    var remainingBytes = maxBytes
    var number = position.number
    var offset = position.offset
    while (remainingBytes > 0 && parts.size < MAX_PARTS) {
        val stored = read(number) ?: return parts
        val size = stored.encoded.size
        if (offset > size) return parts
        val end = minOf(size, offset + remainingBytes)
        val data = Blob(stored.encoded.copyOfRange(offset, end))
        parts += RecordPart(number, offset, size, stored.chainHash, data)
        remainingBytes -= data.sizeBytes
        number++
        offset = 0
    }
    return parts
}

/** Bounds the encoded size of a message of many small records. */
private const val MAX_PARTS = 2_000
