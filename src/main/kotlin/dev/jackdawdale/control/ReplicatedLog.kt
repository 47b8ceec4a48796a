package dev.jackdawdale.control

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.ReplicaView
import dev.jackdawdale.wire.Reply

/**
 * The log as the control loop uses it. All functions are called on the control thread, and their
 * results arrive there.
 *
 * @property accepts whether [propose] appends now; it does not while leadership is handed over
 * @property propose appends a payload and returns its index, or null when this replica does not
 *     lead
 * @property confirmLeadership asks a quorum whether this replica still leads
 */
internal data class ReplicatedLog(
    val accepts: () -> Boolean,
    val propose: (payload: ByteArray, nowMs: Long) -> Long?,
    val confirmLeadership: (nowMs: Long, onResult: (Boolean) -> Unit) -> Unit,
    val status: () -> LogStatus
)

/**
 * Where the log stands.
 *
 * @property quorumHeardAtMs last time a leader heard a quorum, including itself
 */
internal data class LogStatus(
    val term: Long,
    val commitIndex: Long,
    val leader: HostId?,
    val quorumHeardAtMs: Long,
    val replicas: List<ReplicaView>
)

/** The hosts of all replicas. */
internal val LogStatus.controlHosts: List<HostId> get() = replicas.map { it.hostId }

/**
 * The records of ended work as the control loop uses them. Results arrive on the control thread.
 *
 * @property append adds the records that a log entry completed; a record with a known number
 *     changes nothing
 * @property expect tells how many records a restored snapshot counts; missing ones are fetched
 */
internal data class RecordAccess(
    val append: (records: List<WorkRecord>, logIndex: Long) -> Unit,
    val expect: (count: Long) -> Unit,
    val read: (number: Long, onResult: (WorkRecord?) -> Unit) -> Unit,
    val search: (query: Query.Records, onResult: (Reply) -> Unit) -> Unit
)
