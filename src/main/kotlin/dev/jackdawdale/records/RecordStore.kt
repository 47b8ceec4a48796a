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
 * [append], [expect], [missing], [receive], [isSynced] and [syncedThrough] are quick and meant for
 * the control thread. [read], [search], [chainHash], [parts] and [verify] use the disk and belong
 * on another thread. A failing disk is reported once through `onFailed`; from then on nothing more
 * is written.
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
    private var intake: RecordIntake? = null

    /**
     * Adds the records that the entry at [logIndex] completed. Records that are there already are
     * passed over; records after a gap are kept in memory until the gap is filled.
     */
    fun append(records: List<WorkRecord>, logIndex: Long) = synchronized(lock) {
        for (record in records) {
            if (record.number < synced) continue
            pending.putIfAbsent(record.number, Pending(logIndex) { encoded(record) })
        }
        schedule()
    }

    /** The restored state counts [count] records; those that this store lacks must be fetched. */
    fun expect(count: Long) = synchronized(lock) { expected = maxOf(expected, count) }

    /** Number of the last record that is synced, or -1. */
    fun syncedThrough(): Long = synchronized(lock) { synced - 1 }

    /** True when every record of the entries up to [logIndex] is synced. */
    fun isSynced(logIndex: Long): Boolean = synchronized(lock) {
        missing() == null && pending.values.none { it.logIndex <= logIndex }
    }

    /** The first record that must be fetched from a peer, or null. */
    fun missing(): Long? = synchronized(lock) {
        var number = synced
        while (number in pending) number++
        val end = maxOf(expected, if (pending.isEmpty()) 0 else pending.lastKey() + 1)
        number.takeIf { it < end }
    }

    /** Takes what a peer sent; returns what to ask for next, or null when nothing is missing. */
    fun receive(parts: List<RecordPart>): RecordPosition? = synchronized(lock) {
        for (part in parts) {
            val number = missing() ?: return@synchronized null
            val current = intake?.takeIf { it.number == number } ?: RecordIntake(number)
            intake = current
            val whole = current.add(part) ?: continue
            intake = null
            pending[number] = Pending(logIndex = 0) { received(number, whole) }
        }
        schedule()
        wanted()
    }

    /** Where the next fetch starts, or null when nothing is missing. */
    fun wanted(): RecordPosition? = synchronized(lock) {
        val number = missing() ?: return@synchronized null
        val offset = intake?.takeIf { it.number == number }?.sizeBytes ?: 0
        RecordPosition(number, offset)
    }

    /** Stored bytes for a peer from [position] on, at most [maxBytes]; empty when not held. */
    fun parts(position: RecordPosition, maxBytes: Int): List<RecordPart> =
        recordParts(position, maxBytes, segments::read)

    fun read(number: Long): WorkRecord? {
        writePending()
        return segments.read(number)?.let { decodeRecord(it.encoded) }
    }

    /** Hexadecimal chain hash of the record, or null when it is not held. */
    fun chainHash(number: Long): String? {
        writePending()
        return segments.read(number)?.chainHash?.hex()
    }

    /** Finds records in order of number, those appended before this call included. */
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

/** Where a fetch of records starts: byte [offset] of record [number]. */
internal data class RecordPosition(val number: Long, val offset: Int)

/**
 * Opens or makes the record store in [folder].
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

private val unplaced = Frame(0, 0)

private fun encoded(record: WorkRecord) =
    EncodedRecord(record.number, record.encode(), indexRow(unplaced, record))

private fun received(number: Long, bytes: ByteArray) =
    EncodedRecord(number, bytes, indexRow(unplaced, decodeRecord(bytes)))
