package dev.jackdawdale.control

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.ReplicaView
import dev.jackdawdale.wire.Reply

/**
 * The log operations that the control loop uses. All are called on the control thread, as are
 * their callbacks.
 *
 * @property canPropose whether [propose] accepts entries; false during a leadership transfer
 * @property propose appends a payload and returns its index, or null if this replica does not
 *     lead
 * @property confirmLeadership asks a quorum whether this replica still leads
 */
internal data class ReplicatedLog(
    val canPropose: () -> Boolean,
    val propose: (payload: ByteArray, nowMs: Long) -> Long?,
    val confirmLeadership: (nowMs: Long, onResult: (Boolean) -> Unit) -> Unit,
    val status: () -> LogStatus
)

/**
 * The status of the log.
 *
 * @property quorumHeardAtMs time of the leader's last contact with a quorum that includes itself
 * @property toleratedLosses how many more replicas the cell can lose; null unless this one leads
 */
internal data class LogStatus(
    val term: Long,
    val commitIndex: Long,
    val leader: HostId?,
    val quorumHeardAtMs: Long,
    val toleratedLosses: Int?,
    val replicas: List<ReplicaView>
)

/** The hosts of all replicas. */
internal val LogStatus.controlHosts: List<HostId> get() = replicas.map { it.hostId }

/**
 * Access of the control loop to the records of ended work. Callbacks run on the control thread.
 *
 * @property append stores the records that a log entry completed; ignores known record numbers
 * @property expectCount sets the record count of a restored snapshot; missing records are fetched
 */
internal data class RecordAccess(
    val append: (records: List<WorkRecord>, logIndex: Long) -> Unit,
    val expectCount: (count: Long) -> Unit,
    val read: (number: Long, onResult: (WorkRecord?) -> Unit) -> Unit,
    val search: (query: Query.Records, onResult: (Reply) -> Unit) -> Unit
)
