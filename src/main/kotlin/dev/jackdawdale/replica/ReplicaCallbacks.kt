package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.storage.StorageError

/**
 * Callbacks from a replica to its owner. All are called on the control thread.
 *
 * @property send sends a message; must not block and may drop it
 * @property apply applies a committed command; called in log order, once per start of the process
 * @property restore replaces the whole state by the snapshot taken at the log index
 * @property capture takes a cheap copy of the state; the returned function encodes it on another
 *   thread
 * @property becameLeader called after all entries of earlier terms are applied; from now on
 *   proposals are accepted
 * @property lostLeadership entries proposed in the term and not applied yet may or may not commit
 * @property quorumLost whether too few voters have their disks for a leader to be elected
 * @property toleratedLosses how many more voters may be lost; null when this replica does not lead
 * @property storageFailed the replica has stopped until the process is restarted
 */
internal class ReplicaCallbacks(
    val send: (to: HostId, message: RaftMessage) -> Unit,
    val apply: (index: Long, payload: ByteArray) -> Unit,
    val restore: (index: Long, snapshot: ByteArray) -> Unit,
    val capture: () -> () -> ByteArray,
    val becameLeader: (term: Long) -> Unit = {},
    val lostLeadership: (term: Long) -> Unit = {},
    val quorumLost: (Boolean) -> Unit = {},
    val toleratedLosses: (Int?) -> Unit = {},
    val storageFailed: (error: StorageError) -> Unit = {}
)
