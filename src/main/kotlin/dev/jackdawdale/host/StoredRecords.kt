package dev.jackdawdale.host

import dev.jackdawdale.control.RecordAccess
import dev.jackdawdale.model.Asked
import dev.jackdawdale.model.CorruptPayload
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.records.RecordPage
import dev.jackdawdale.records.RecordQuery
import dev.jackdawdale.records.RecordStore
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply
import java.util.concurrent.Executor
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.host")
private const val RETRY_AFTER_MS = 1_000L

/** Limit of one page of records, so that a reply with the largest bodies fits into a frame. */
private const val MAX_PAGE_BYTES = 2L * 1024 * 1024

/** Adapts [store] to the control loop: reads run on [background], results go to [control]. */
internal fun recordAccess(
    store: RecordStore,
    background: Executor,
    control: Executor
): RecordAccess = RecordAccess(
    append = store::append,
    expectCount = store::expectCount,
    read = { number, onResult ->
        background.execute {
            val record = readOrNull { store.read(number) }
            control.execute { onResult(record) }
        }
    },
    search = { query, reply ->
        background.execute {
            val page = readOrNull { store.search(query.toRecordQuery()) }
            val found = page?.toReply()
                ?: Reply.Refused(Refusal.Unavailable("records are not readable", RETRY_AFTER_MS))
            control.execute { reply(found) }
        }
    }
)

private fun <T> readOrNull(read: () -> T?): T? = try {
    read()
} catch (e: StorageException) {
    log.error("cannot read records: {}", e.error)
    null
} catch (e: CorruptPayload) {
    log.error("cannot decode a record", e)
    null
}

private fun Query.Records.toRecordQuery() = RecordQuery(
    customerId = customerId,
    endedFromMs = endedFromMs,
    endedToMs = endedToMs,
    outcome = outcome,
    fromNumber = fromNumber,
    limit = limit
)

/** Cuts the page to fit into one frame; the next page starts at the first record left out. */
private fun RecordPage.toReply(): Reply.Records {
    var bytes = 0L
    val fitting = records.takeWhile { found ->
        val first = bytes == 0L
        bytes += found.record.estimatedBytes()
        first || bytes <= MAX_PAGE_BYTES
    }
    val next = if (fitting.size < records.size) records[fitting.size].record.number else nextNumber
    return Reply.Records(fitting.map { it.record }, fitting.map { it.chainHash }, next)
}

private fun WorkRecord.estimatedBytes(): Long {
    val bodyBytes = when (val what = asked) {
        is Asked.Request -> what.spec.body.sizeBytes
        is Asked.Job -> what.spec.payload.length
    }
    return RECORD_OVERHEAD_BYTES + bodyBytes + (answer?.body?.sizeBytes ?: 0)
}

private const val RECORD_OVERHEAD_BYTES = 1_024L
