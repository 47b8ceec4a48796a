package dev.jackdawdale.records

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.model.wrapDecodeErrors
import dev.jackdawdale.storage.Frame
import dev.jackdawdale.storage.damaged
import dev.jackdawdale.storage.onDisk
import dev.jackdawdale.storage.payload
import dev.jackdawdale.storage.scanFrames
import java.nio.ByteBuffer
import java.nio.file.Files
import java.nio.file.Path
import java.util.Locale
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

internal const val SEGMENT_SUFFIX = ".records"
private const val NAME_FORMAT = "%020d$SEGMENT_SUFFIX"

internal fun segmentPath(folder: Path, firstNumber: Long): Path =
    folder.resolve(String.format(Locale.ROOT, NAME_FORMAT, firstNumber))

internal fun WorkRecord.encode(): ByteArray = cellCbor.encodeToByteArray(this)

internal fun decodeRecord(bytes: ByteArray): WorkRecord =
    wrapDecodeErrors("record") { cellCbor.decodeFromByteArray(bytes) }

/** The first frame of a segment: number of its first record and the chain hash before it. */
internal fun segmentHeader(firstNumber: Long, previous: Blob): List<ByteArray> =
    listOf(numberBytes(firstNumber), previous.bytes)

/** A frame of one record: its number, its chain hash, the encoded record. */
internal fun recordFrame(number: Long, chainHash: Blob, encoded: ByteArray): List<ByteArray> =
    listOf(numberBytes(number), chainHash.bytes, encoded)

private fun numberBytes(number: Long): ByteArray =
    ByteBuffer.allocate(Long.SIZE_BYTES).putLong(number).array()

/** An encoded record with its number and chain hash, as stored. */
internal class StoredRecord(val number: Long, val chainHash: Blob, val encoded: ByteArray)

/** Decodes a frame; the header frame of a segment has no encoded record. */
internal fun storedRecord(payload: ByteBuffer): StoredRecord {
    val number = payload.getLong()
    val hash = ByteArray(CHAIN_HASH_BYTES).also { payload.get(it) }
    val encoded = ByteArray(payload.remaining()).also { payload.get(it) }
    return StoredRecord(number, Blob(hash), encoded)
}

/** The records of a segment file, verified against the hash chain. */
internal class ScannedSegment(val rows: List<IndexRow>, val lastChainHash: Blob, val frames: Int)

/**
 * Reads a segment and verifies its hash chain.
 *
 * @param previous chain hash before the first record
 * @throws dev.jackdawdale.storage.StorageException at the first mismatch
 */
internal fun scanSegment(
    path: Path,
    firstNumber: Long,
    previous: Blob,
    mayBeTorn: Boolean
): ScannedSegment {
    val bytes = onDisk(path) { Files.readAllBytes(path) }
    val frames = scanFrames(path, bytes, mayBeTorn)
    val header = frames.firstOrNull() ?: return ScannedSegment(emptyList(), previous, 0)
    checkHeader(path, header, storedRecord(header.payload(bytes)), firstNumber, previous)
    var hash = previous
    val rows = frames.drop(1).mapIndexed { position, frame ->
        val stored = storedRecord(frame.payload(bytes))
        val number = firstNumber + position
        if (stored.number != number) {
            damaged(path, frame.offset, "found record ${stored.number} instead of $number")
        }
        hash = nextChainHash(hash, stored.encoded)
        if (hash != stored.chainHash) {
            damaged(path, frame.offset, "chain hash of record $number does not match")
        }
        indexRow(frame, decodeRecord(stored.encoded))
    }
    return ScannedSegment(rows, hash, frames.size)
}

private fun checkHeader(
    path: Path,
    frame: Frame,
    header: StoredRecord,
    firstNumber: Long,
    previous: Blob
) {
    if (header.number != firstNumber) {
        damaged(path, frame.offset, "the segment starts at ${header.number}, not $firstNumber")
    }
    if (header.chainHash != previous) {
        damaged(path, frame.offset, "chain hash before record $firstNumber does not match")
    }
}
