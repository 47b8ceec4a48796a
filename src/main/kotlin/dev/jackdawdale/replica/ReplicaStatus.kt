package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.raft.Role
import dev.jackdawdale.storage.StorageError

/**
 * Status of a replica and, while it leads, of its peers.
 *
 * @property ready it leads and accepts proposals
 * @property leader host of the leader, when known
 * @property quorumHeardAtMs latest time since which a quorum was heard from; null unless it leads
 * @property toleratedLosses how many more voters may be lost before there is no quorum; null unless
 *   it leads
 * @property storageError why the replica has stopped, or null
 */
internal data class ReplicaStatus(
    val replicaId: ReplicaId,
    val role: Role,
    val ready: Boolean,
    val term: Long,
    val leader: HostId?,
    val commitIndex: Long,
    val appliedIndex: Long,
    val lastIndex: Long,
    val snapshotIndex: Long,
    val members: List<MemberStatus>,
    val quorumHeardAtMs: Long?,
    val toleratedLosses: Int?,
    val storageError: StorageError?
)

/** A member; [matchIndex] and [lastHeardMs] are known to the leader only. */
internal data class MemberStatus(
    val replicaId: ReplicaId,
    val hostId: HostId,
    val voter: Boolean,
    val matchIndex: Long?,
    val lastHeardMs: Long?
)

/** Result of a proposal. */
internal sealed interface ProposeResult {
    /** It is in the leader's log and commits when `apply` is called with [index]. */
    data class Appended(val index: Long, val term: Long) : ProposeResult

    /** Nothing was appended. [leader] is the host to try, when known. */
    data class NotLeader(val leader: HostId?) : ProposeResult
}

/** Result of a read. */
internal sealed interface ReadResult {
    /** The applied state now holds everything committed before the read was requested. */
    data class Ready(val index: Long) : ReadResult

    data class NotLeader(val leader: HostId?) : ReadResult
}

/** Result of a membership change. */
internal sealed interface ChangeResult {
    data object Committed : ChangeResult

    data class Refused(val reason: String) : ChangeResult

    /** Leadership was lost; the change may or may not commit. */
    data object Unknown : ChangeResult
}
