package dev.jackdawdale.records

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.WorkRecord
import java.nio.file.Path

/**
 * What to look for. A null field matches every record.
 *
 * @property endedFromMs first time of the end that matches
 * @property endedToMs last time of the end that matches
 * @property outcome label of the outcome
 * @property fromNumber first record number to look at
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

/** Records found; [nextNumber] is where a following query goes on, or null at the end. */
internal data class RecordPage(val records: List<ChainedRecord>, val nextNumber: Long?)

/** Result of checking every record against the hash chain. */
internal sealed interface VerifyResult {
    data class Intact(val count: Long, val lastChainHash: String) : VerifyResult

    /** The first place that does not fit; [number] is the record expected there. */
    data class Broken(val file: Path, val offset: Long, val number: Long, val reason: String) :
        VerifyResult
}
