package dev.jackdawdale.records

import dev.jackdawdale.storage.FILE_HEADER_BYTES
import dev.jackdawdale.storage.FRAME_HEADER_BYTES
import dev.jackdawdale.storage.Frame
import dev.jackdawdale.storage.FrameFile
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.WriteCheck
import dev.jackdawdale.storage.createFolder
import dev.jackdawdale.storage.createFrameFile
import dev.jackdawdale.storage.damaged
import dev.jackdawdale.storage.filesIn
import dev.jackdawdale.storage.onDisk
import dev.jackdawdale.storage.openFrameFile
import dev.jackdawdale.storage.readFrame
import java.nio.file.Files
import java.nio.file.Path

/**
 * Limits at which a segment is sealed and a new one begins.
 *
 * @property maxSegmentMs longest time between the ends of the first and the last record
 */
internal data class RecordSettings(
    val maxSegmentBytes: Long = 32L * 1024 * 1024,
    val maxSegmentMs: Long = 24L * 3_600_000
)

/** Segment files of records. Thread-safe; all functions do disk I/O. */
internal class RecordSegments(
    private val folder: Path,
    private val settings: RecordSettings,
    private val check: WriteCheck
) : AutoCloseable {
    private val sealed = mutableListOf<SegmentSummary>()
    private var rows = mutableListOf<IndexRow>()
    private var firstNumber = 0L
    private var lastHash = firstChainHash
    private var writer: FrameFile? = null

    /** Number of the next record to append. */
    @get:Synchronized
    val nextNumber: Long get() = firstNumber + rows.size

    init {
        createFolder(folder)
        val files = filesIn(folder, SEGMENT_SUFFIX)
        files.dropLast(1).forEach(::loadSealed)
        files.lastOrNull()?.let(::loadLast)
    }

    /** Appends consecutive records and syncs them together. */
    @Synchronized
    fun append(records: List<EncodedRecord>) {
        records.forEach(::append)
        writer?.sync()
    }

    @Synchronized
    fun read(number: Long): StoredRecord? {
        if (number !in 0 until nextNumber) return null
        if (number >= firstNumber) return read(activePath, rows[(number - firstNumber).toInt()])
        val segment = sealed.last { it.firstNumber <= number }
        return read(segment.path, rowsOf(segment)[(number - segment.firstNumber).toInt()])
    }

    @Synchronized
    fun search(query: RecordQuery): RecordPage {
        val found = mutableListOf<ChainedRecord>()
        for (segment in sealed) {
            if (!segment.mayMatch(query)) continue
            val next = collect(segment.path, segment.firstNumber, rowsOf(segment), query, found)
            if (next != null) return RecordPage(found, next)
        }
        return RecordPage(found, collect(activePath, firstNumber, rows, query, found))
    }

    /** Reads all records and verifies the hash chain from the first one on. */
    @Synchronized
    fun verify(): VerifyResult {
        var hash = firstChainHash
        var number = 0L
        val paths = sealed.map { it.path } + listOfNotNull(writer?.path)
        for (path in paths) {
            val scanned = try {
                scanSegment(path, number, hash, mayBeTorn = false)
            } catch (e: StorageException) {
                val error = e.error as? StorageError.Damaged ?: throw e
                return VerifyResult.Broken(error.file, error.offset, number, error.reason)
            }
            number += scanned.rows.size
            hash = scanned.lastChainHash
        }
        if (number == nextNumber && hash == lastHash) return VerifyResult.Intact(number, hash.hex())
        return VerifyResult.Broken(folder, 0, number, "records are missing")
    }

    @Synchronized
    override fun close() {
        writer?.close()
        writer = null
    }

    private val activePath: Path get() = segmentPath(folder, firstNumber)

    private fun read(path: Path, row: IndexRow): StoredRecord =
        storedRecord(readFrame(path, row.frame))

    /** Adds matching records to [found]; returns the next number when the limit is reached. */
    private fun collect(
        path: Path,
        first: Long,
        rows: List<IndexRow>,
        query: RecordQuery,
        found: MutableList<ChainedRecord>
    ): Long? {
        rows.forEachIndexed { position, row ->
            val number = first + position
            if (number < query.fromNumber || !row.matches(query)) return@forEachIndexed
            if (found.size >= query.limit) return number
            val stored = read(path, row)
            found += ChainedRecord(decodeRecord(stored.encoded), stored.chainHash.hex())
        }
        return null
    }

    private fun append(record: EncodedRecord) {
        require(record.number == nextNumber) { "record ${record.number} leaves a gap" }
        val file = writerFor(record.row.endedAtMs)
        val hash = nextChainHash(lastHash, record.encoded)
        val offset = file.append(recordFrame(record.number, hash, record.encoded))
        val length = (file.sizeBytes - offset).toInt() - FRAME_HEADER_BYTES
        rows += record.row.copy(offset = offset, length = length)
        lastHash = hash
    }

    private fun writerFor(endedAtMs: Long): FrameFile {
        val current = writer ?: return create()
        val startedMs = rows.firstOrNull()?.endedAtMs ?: return current
        val full = current.sizeBytes >= settings.maxSegmentBytes ||
            endedAtMs - startedMs > settings.maxSegmentMs
        if (!full) return current
        seal(current)
        return create()
    }

    private fun seal(file: FrameFile) {
        file.sync()
        file.close()
        val index = SegmentIndex(firstNumber, file.sizeBytes, lastHash, rows)
        writeIndex(file.path, index, check)
        sealed += index.summary(file.path)
        firstNumber = nextNumber
        rows = mutableListOf()
        writer = null
    }

    private fun create(): FrameFile {
        val file = createFrameFile(activePath, check)
        file.append(segmentHeader(firstNumber, lastHash))
        writer = file
        return file
    }

    private fun rowsOf(segment: SegmentSummary): List<IndexRow> =
        (readIndex(segment.path) ?: rebuildIndex(segment.path, segment.firstNumber)).rows

    private fun loadSealed(path: Path) {
        requireInSequence(path)
        val size = onDisk(path) { Files.size(path) }
        val index = readIndex(path)?.takeIf { it.sizeBytes == size }
            ?: rebuildIndex(path, firstNumber)
        val summary = index.summary(path)
        sealed += summary
        firstNumber = summary.nextNumber
        lastHash = summary.lastChainHash
    }

    private fun rebuildIndex(path: Path, first: Long): SegmentIndex {
        val previous = sealed.lastOrNull { it.nextNumber == first }?.lastChainHash
        val scanned = scanSegment(path, first, previous ?: firstChainHash, mayBeTorn = false)
        val size = onDisk(path) { Files.size(path) }
        val index = SegmentIndex(first, size, scanned.lastChainHash, scanned.rows)
        writeIndex(path, index, check)
        return index
    }

    private fun loadLast(path: Path) {
        requireInSequence(path)
        val scanned = scanSegment(path, firstNumber, lastHash, mayBeTorn = true)
        // A crash before the first sync of the file leaves it without a header.
        if (scanned.frames == 0) {
            create().sync()
            return
        }
        rows = scanned.rows.toMutableList()
        lastHash = scanned.lastChainHash
        val end = rows.lastOrNull()?.frame ?: headerFrame
        writer = openFrameFile(path, end.offset + FRAME_HEADER_BYTES + end.length, check)
    }

    private fun requireInSequence(path: Path) {
        if (path != activePath) damaged(path, 0, "records from $firstNumber on are missing")
    }
}

private val headerFrame = Frame(FILE_HEADER_BYTES.toLong(), Long.SIZE_BYTES + CHAIN_HASH_BYTES)

/** A record to write; offset and length of its [row] are not set yet. */
internal class EncodedRecord(val number: Long, val encoded: ByteArray, val row: IndexRow)
