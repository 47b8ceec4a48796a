package dev.jackdawdale.records

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.model.label
import dev.jackdawdale.model.wrapDecodeErrors
import dev.jackdawdale.storage.Frame
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.WriteCheck
import dev.jackdawdale.storage.readChecked
import dev.jackdawdale.storage.replaceDurably
import java.nio.file.Path
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Position of a record in its segment, and the fields that a search compares. */
@Serializable
internal data class IndexRow(
    val offset: Long,
    val length: Int,
    val endedAtMs: Long,
    val customer: String,
    val outcome: String
)

internal val IndexRow.frame: Frame get() = Frame(offset, length)

internal fun indexRow(frame: Frame, record: WorkRecord): IndexRow = IndexRow(
    offset = frame.offset,
    length = frame.length,
    endedAtMs = record.endedAtMs,
    customer = record.customerId.value,
    outcome = record.outcome.label
)

/** In-memory summary of a sealed segment. */
internal class SegmentSummary(
    val path: Path,
    val firstNumber: Long,
    val count: Int,
    val sizeBytes: Long,
    val lastChainHash: Blob,
    private val endedMs: LongRange,
    private val customers: Set<String>,
    private val outcomes: Set<String>
) {
    val nextNumber: Long get() = firstNumber + count

    /** False when no record of the segment can match. */
    fun mayMatch(query: RecordQuery): Boolean = nextNumber > query.fromNumber &&
        endedMs.first <= query.endedToMs &&
        endedMs.last >= query.endedFromMs &&
        (query.customerId == null || query.customerId.value in customers) &&
        (query.outcome == null || query.outcome in outcomes)
}

internal fun IndexRow.matches(query: RecordQuery): Boolean =
    endedAtMs in query.endedFromMs..query.endedToMs &&
        (query.customerId == null || query.customerId.value == customer) &&
        (query.outcome == null || query.outcome == outcome)

/** The index of a sealed segment. It is derived data and can be rebuilt from the segment. */
@Serializable
internal class SegmentIndex(
    val firstNumber: Long,
    val sizeBytes: Long,
    val lastChainHash: Blob,
    val rows: List<IndexRow>
)

internal fun SegmentIndex.summary(path: Path): SegmentSummary = SegmentSummary(
    path = path,
    firstNumber = firstNumber,
    count = rows.size,
    sizeBytes = sizeBytes,
    lastChainHash = lastChainHash,
    endedMs = if (rows.isEmpty()) {
        LongRange.EMPTY
    } else {
        rows.minOf { it.endedAtMs }..rows.maxOf { it.endedAtMs }
    },
    customers = rows.mapTo(mutableSetOf()) { it.customer },
    outcomes = rows.mapTo(mutableSetOf()) { it.outcome }
)

private fun indexPath(segment: Path): Path =
    segment.resolveSibling(segment.fileName.toString().removeSuffix(SEGMENT_SUFFIX) + ".index")

internal fun writeIndex(segment: Path, index: SegmentIndex, check: WriteCheck) =
    replaceDurably(indexPath(segment), listOf(cellCbor.encodeToByteArray(index)), check)

/** The stored index of [segment], or null when it is missing or damaged. */
internal fun readIndex(segment: Path): SegmentIndex? = try {
    readChecked(indexPath(segment))?.let { bytes ->
        wrapDecodeErrors("index") { cellCbor.decodeFromByteArray<SegmentIndex>(bytes) }
    }
} catch (_: StorageException) {
    null
}
