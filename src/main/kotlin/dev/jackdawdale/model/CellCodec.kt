package dev.jackdawdale.model

import dev.jackdawdale.staged.StagedSnapshot
import dev.jackdawdale.staged.toSnapshot
import dev.jackdawdale.staged.toState
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentHashSet
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** The CBOR format of the log, snapshots, records and messages between processes. */
val cellCbor: Cbor = Cbor {
    alwaysUseByteString = true
    ignoreUnknownKeys = true
}

/** Thrown when bytes cannot be decoded as the expected type. */
class CorruptPayload(message: String, cause: Throwable) : Exception(message, cause)

/** Encodes a batch as the payload of one log entry. */
fun EventBatch.encode(): ByteArray = cellCbor.encodeToByteArray(this)

/**
 * Decodes the payload of one log entry.
 *
 * @throws CorruptPayload when [bytes] is not an event batch
 */
fun decodeEventBatch(bytes: ByteArray): EventBatch =
    wrapDecodeErrors("event batch") { cellCbor.decodeFromByteArray<EventBatch>(bytes) }

/** Encodes the whole state as a snapshot. */
fun CellState.encode(): ByteArray = cellCbor.encodeToByteArray(toSnapshot())

/**
 * Decodes a snapshot.
 *
 * @throws CorruptPayload when [bytes] is not a snapshot
 */
fun decodeCellState(bytes: ByteArray): CellState =
    wrapDecodeErrors("snapshot") { cellCbor.decodeFromByteArray<CellSnapshot>(bytes) }.toState()

/** Runs [decode] and wraps the various runtime exceptions that the codec throws on bad bytes. */
internal inline fun <T> wrapDecodeErrors(what: String, decode: () -> T): T = try {
    decode()
} catch (e: RuntimeException) {
    throw CorruptPayload("not a valid $what: ${e.message}", e)
}

@Serializable
private data class CellSnapshot(
    val contracts: List<Contract>,
    val changes: List<AppliedChange>,
    val lastChanges: Map<CustomerId, ChangeId>,
    val requests: List<RequestWork>,
    val jobs: List<JobWork>,
    val tasks: List<Task>,
    val ended: List<EndedWork>,
    val workers: List<WorkerSnapshot>,
    val endpoints: List<EndpointSnapshot>,
    val entryHosts: List<EntryHost>,
    val staged: StagedSnapshot = StagedSnapshot(),
    val nextToken: FencingToken,
    val nextRecordNumber: Long,
    val lastBatchMs: Long
)

@Serializable
private data class WorkerSnapshot(
    val info: WorkerInfo,
    val phase: WorkerPhase,
    val allocated: Resources,
    val taskIds: List<TaskId>
)

@Serializable
private data class EndpointSnapshot(
    val info: EndpointInfo,
    val phase: EndpointPhase,
    val inFlight: List<WorkId>,
    val abandoned: Map<FencingToken, AbandonedSlot>
)

private fun CellState.toSnapshot() = CellSnapshot(
    contracts = contracts.values.toList(),
    changes = changes.values.toList(),
    lastChanges = lastChanges,
    requests = requests.values.toList(),
    jobs = jobs.values.toList(),
    tasks = tasks.values.toList(),
    ended = ended.values.toList(),
    workers = workers.values.map {
        WorkerSnapshot(it.info, it.phase, it.allocated, it.taskIds.toList())
    },
    endpoints = endpoints.values.map {
        EndpointSnapshot(it.info, it.phase, it.inFlight.toList(), it.abandoned)
    },
    entryHosts = entryHosts.values.toList(),
    staged = staged.toSnapshot(),
    nextToken = nextToken,
    nextRecordNumber = nextRecordNumber,
    lastBatchMs = lastBatchMs
)

private fun CellSnapshot.toState() = CellState(
    contracts = contracts.associateBy { it.customerId }.toPersistentHashMap(),
    changes = changes.associateBy { it.changeId }.toPersistentMap(),
    lastChanges = lastChanges.toPersistentHashMap(),
    requests = requests.associateBy { it.spec.workId }.toPersistentHashMap(),
    jobs = jobs.associateBy { it.spec.workId }.toPersistentHashMap(),
    tasks = tasks.associateBy { it.taskId }.toPersistentHashMap(),
    ended = ended.associateBy { it.workId }.toPersistentMap(),
    workers = workers.associate {
        val ids = it.taskIds.toPersistentHashSet()
        it.info.workerId to Worker(it.info, it.phase, it.allocated, ids)
    }.toPersistentHashMap(),
    endpoints = endpoints.associate {
        val inFlight = it.inFlight.toPersistentHashSet()
        val abandoned = it.abandoned.toPersistentHashMap()
        it.info.endpointId to Endpoint(it.info, it.phase, inFlight, abandoned)
    }.toPersistentHashMap(),
    entryHosts = entryHosts.associateBy { it.hostId }.toPersistentHashMap(),
    staged = staged.toState(),
    nextToken = nextToken,
    nextRecordNumber = nextRecordNumber,
    lastBatchMs = lastBatchMs
)
