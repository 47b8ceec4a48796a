package dev.jackdawdale.records

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.WorkRecord
import java.nio.file.Path

/**
 * Criteria of a search. A null field matches every record.
 *
 * @property endedFromMs earliest end that matches
 * @property endedToMs latest end that matches
 * @property outcome label of the outcome
 * @property fromNumber number of the first record to search
 */
internal data class RecordQuery(
    val customerId: CustomerId? = null,
    val endedFromMs: Long = 0,
    val endedToMs: Long = Long.MAX_VALUE,
    val outcome: String? = null,
    val fromNumber: Long = 0,
    val limit: Int = 1_000
)

/** A record with its hexadecimal chain hash. */
internal data class ChainedRecord(val record: WorkRecord, val chainHash: String)

/** Records found; the next query continues at [nextNumber], which is null at the end. */
internal data class RecordPage(val records: List<ChainedRecord>, val nextNumber: Long?)

/** Result of checking every record against the hash chain. */
internal sealed interface VerifyResult {
    data class Intact(val count: Long, val lastChainHash: String) : VerifyResult

    /** The first mismatch; [number] is the record expected there. */
    data class Broken(val file: Path, val offset: Long, val number: Long, val reason: String) :
        VerifyResult
}
