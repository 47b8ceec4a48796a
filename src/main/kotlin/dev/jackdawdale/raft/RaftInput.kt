package dev.jackdawdale.raft

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.HostId

/** An input of the consensus core. */
internal sealed interface RaftInput {
    data object Tick : RaftInput

    data class Receive(val from: HostId, val message: ConsensusMessage) : RaftInput

    /** The connection over which [hostId] sends has ended. */
    data class ConnectionEnded(val hostId: HostId) : RaftInput

    /** Appends one command, given as parts that are small enough for one message each. */
    data class Propose(val parts: List<Blob>) : RaftInput

    /** All writes up to [lastIndex], and the vote of [term], are synced. */
    data class Persisted(val term: Long, val lastIndex: Long, val lastTerm: Long) : RaftInput

    data class Read(val readId: Long) : RaftInput

    data object TransferLeadership : RaftInput

    data class ChangeMembers(val change: MemberChange) : RaftInput

    /** A replica with a new ID on [hostId] asks to join. */
    data class Join(val replicaId: ReplicaId, val hostId: HostId) : RaftInput

    /** The member [replicaId] stops, for good or to start again. */
    data class Leave(val replicaId: ReplicaId) : RaftInput

    /** No configured host holds a log; this replica starts one with [membership]. */
    data class Bootstrap(val membership: Membership) : RaftInput

    /** A snapshot of this replica's state is durable. */
    data class SnapshotTaken(val meta: SnapshotMeta, val dropThrough: Long) : RaftInput

    /** A received snapshot is durable and the log on disk starts after it. */
    data class SnapshotInstalled(val meta: SnapshotMeta) : RaftInput
}

/** An action that the replica performs after a step, in the order of emission. */
internal sealed interface RaftEffect {
    data class WriteVote(val term: Long, val votedFor: ReplicaId?) : RaftEffect

    /** Replaces the entries from the first one's index on. */
    data class WriteEntries(val entries: List<Entry>) : RaftEffect

    /** With [afterSync] the message is sent only after all earlier writes are synced. */
    data class Send(val to: HostId, val message: ConsensusMessage, val afterSync: Boolean) :
        RaftEffect

    /** Sends [template] with the bytes of the latest snapshot from its offset on. */
    data class SendSnapshot(val to: HostId, val template: InstallSnapshot) : RaftEffect

    data class StoreChunk(val chunk: InstallSnapshot) : RaftEffect

    /** All chunks of the snapshot have been stored. */
    data class Install(val meta: SnapshotMeta) : RaftEffect

    data class Commit(val entries: List<Entry>) : RaftEffect

    data class Appended(val index: Long, val term: Long) : RaftEffect

    data class Rejected(val reason: RejectReason) : RaftEffect

    data class BecameLeader(val term: Long) : RaftEffect

    data class LostLeadership(val term: Long) : RaftEffect

    data class ReadReady(val readId: Long, val index: Long) : RaftEffect

    data class ReadFailed(val readId: Long) : RaftEffect
}

/** Why the consensus core rejected a proposal or a membership change. */
internal enum class RejectReason { NOT_LEADER, CHANGE_IN_PROGRESS, DOES_NOT_FIT }
