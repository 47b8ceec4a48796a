package dev.jackdawdale.records

import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.raft.RecordPart
import dev.jackdawdale.storage.Frame
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.WriteCheck
import java.nio.file.Path
import java.util.TreeMap
import java.util.concurrent.Executor

/**
 * The permanent records of ended work, in order of number, in a hash chain.
 *
 * [append], [expectCount], [firstMissing], [receive], [isSynced] and [syncedThrough] do no disk I/O
 * and are for the control thread. [read], [search], [chainHash], [parts] and [verify] do disk I/O
 * and are for other threads. A failed write is reported once through `onFailed`; nothing is written
 * afterwards.
 */
internal class RecordStore(
    private val segments: RecordSegments,
    private val storageThread: Executor,
    private val onFailed: (StorageError) -> Unit
) : AutoCloseable {
    private class Pending(val logIndex: Long, val encode: () -> EncodedRecord)

    private val lock = Any()
    private val pending = TreeMap<Long, Pending>()
    private var synced = segments.nextNumber
    private var expected = synced
    private var scheduled = false
    private var failed = false
    private var assembler: RecordAssembler? = null

    /**
     * Adds the records that the entry at [logIndex] completed. Records that are synced or
     * pending are skipped; records after a gap are kept in memory until the gap is filled.
     */
    fun append(records: List<WorkRecord>, logIndex: Long) = synchronized(lock) {
        for (record in records) {
            if (record.number < synced) continue
            pending.putIfAbsent(record.number, Pending(logIndex) { encoded(record) })
        }
        schedule()
    }

    /** Sets the record [count] of the restored state; records missing here must be fetched. */
    fun expectCount(count: Long) = synchronized(lock) { expected = maxOf(expected, count) }

    /** Number of the last record that is synced, or -1. */
    fun syncedThrough(): Long = synchronized(lock) { synced - 1 }

    /** True when every record of the entries up to [logIndex] is synced. */
    fun isSynced(logIndex: Long): Boolean = synchronized(lock) {
        firstMissing() == null && pending.values.none { it.logIndex <= logIndex }
    }

    /** The first record that must be fetched from a peer, or null. */
    fun firstMissing(): Long? = synchronized(lock) {
        var number = synced
        while (number in pending) number++
        val end = maxOf(expected, if (pending.isEmpty()) 0 else pending.lastKey() + 1)
        number.takeIf { it < end }
    }

    /** Adds parts sent by a peer; returns the next fetch, or null when nothing is missing. */
    fun receive(parts: List<RecordPart>): RecordPosition? = synchronized(lock) {
        for (part in parts) {
            val number = firstMissing() ?: return@synchronized null
            val current = assembler?.takeIf { it.number == number } ?: RecordAssembler(number)
            assembler = current
            val encoded = current.add(part) ?: continue
            assembler = null
            pending[number] = Pending(logIndex = 0) { received(number, encoded) }
        }
        schedule()
        nextFetch()
    }

    /** Position of the next fetch, or null when nothing is missing. */
    fun nextFetch(): RecordPosition? = synchronized(lock) {
        val number = firstMissing() ?: return@synchronized null
        val offset = assembler?.takeIf { it.number == number }?.sizeBytes ?: 0
        RecordPosition(number, offset)
    }

    /** Stored bytes from [position] on, at most [maxBytes] in total; empty when not stored. */
    fun parts(position: RecordPosition, maxBytes: Int): List<RecordPart> =
        recordParts(position, maxBytes, segments::read)

    fun read(number: Long): WorkRecord? {
        writePending()
        return segments.read(number)?.let { decodeRecord(it.encoded) }
    }

    /** Hexadecimal chain hash of the record, or null when it is not stored. */
    fun chainHash(number: Long): String? {
        writePending()
        return segments.read(number)?.chainHash?.hex()
    }

    /** Finds records in order of number, including all those appended before this call. */
    fun search(query: RecordQuery): RecordPage {
        writePending()
        return segments.search(query)
    }

    fun verify(): VerifyResult = segments.verify()

    override fun close() = segments.close()

    private fun schedule() {
        val hasReady = pending.isNotEmpty() && pending.firstKey() <= synced
        if (scheduled || failed || !hasReady) return
        scheduled = true
        storageThread.execute {
            synchronized(lock) { scheduled = false }
            writePending()
        }
    }

    /** Writes all pending records before the first gap, with one sync. */
    private fun writePending() = synchronized(segments) {
        val ready = synchronized(lock) { readyToWrite() }
        if (ready.isEmpty()) return@synchronized
        try {
            segments.append(ready.map { it.encode() })
        } catch (e: StorageException) {
            synchronized(lock) { failed = true }
            onFailed(e.error)
            return@synchronized
        }
        synchronized(lock) {
            synced = segments.nextNumber
            pending.headMap(synced).clear()
        }
    }

    private fun readyToWrite(): List<Pending> {
        if (failed) return emptyList()
        val ready = mutableListOf<Pending>()
        var number = synced
        while (true) ready += pending[number++] ?: return ready
    }
}

/** Start of a fetch of records: byte [offset] of record [number]. */
internal data class RecordPosition(val number: Long, val offset: Int)

/**
 * Opens or creates the record store in [folder].
 *
 * @param storageThread runs the writes, one at a time
 * @param onFailed called on the storage thread when the disk fails
 * @throws StorageException when a record that was synced is damaged
 */
internal fun recordStore(
    folder: Path,
    storageThread: Executor,
    settings: RecordSettings = RecordSettings(),
    check: WriteCheck = {},
    onFailed: (StorageError) -> Unit = {}
): RecordStore = RecordStore(RecordSegments(folder, settings, check), storageThread, onFailed)

private val noFrame = Frame(0, 0)

private fun encoded(record: WorkRecord) =
    EncodedRecord(record.number, record.encode(), indexRow(noFrame, record))

private fun received(number: Long, bytes: ByteArray) =
    EncodedRecord(number, bytes, indexRow(noFrame, decodeRecord(bytes)))
