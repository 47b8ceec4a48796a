package dev.jackdawdale.raft

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Maximum payload of one message, in bytes. A message must arrive completely before its connection
 * counts as silent, even when the hosts are short of CPU time.
 */
internal const val MAX_MESSAGE_PAYLOAD_BYTES = 32 * 1024

/** Messages between control replicas. */
@Serializable
internal sealed interface RaftMessage {
    /** Identity of the sender's data folder. */
    val from: ReplicaId
}

/** Messages of the consensus protocol. A replica whose ID is not [to] drops them. */
@Serializable
internal sealed interface ConsensusMessage : RaftMessage {
    val to: ReplicaId
    val term: Long
}

/** Asks whether a vote in [term] would be granted; changes nothing at the receiver. */
@Serializable
@SerialName("preVote")
internal data class PreVote(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long
) : ConsensusMessage

/** [term] is the requested term when granted, else the term of the sender. */
@Serializable
@SerialName("preVoteReply")
internal data class PreVoteReply(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val granted: Boolean
) : ConsensusMessage

/** Asks for a vote; [transfer] marks an election that the leader itself requested. */
@Serializable
@SerialName("vote")
internal data class Vote(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val transfer: Boolean
) : ConsensusMessage

@Serializable
@SerialName("voteReply")
internal data class VoteReply(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val granted: Boolean
) : ConsensusMessage

/** Replicates [entries]; without entries it is a heartbeat. [readRound] is echoed in the reply. */
@Serializable
@SerialName("append")
internal data class Append(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val previousIndex: Long,
    val previousTerm: Long,
    val entries: List<Entry>,
    val commitIndex: Long,
    val readRound: Long
) : ConsensusMessage

/**
 * Sent after all entries up to [matchIndex] are synced.
 *
 * @property previousIndex the one of the answered [Append]
 * @property matchIndex last index known equal to the leader's log; in a refusal, the index to retry
 *   from
 */
@Serializable
@SerialName("appendReply")
internal data class AppendReply(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val success: Boolean,
    val previousIndex: Long,
    val matchIndex: Long,
    val readRound: Long
) : ConsensusMessage

/** Log position of a snapshot and the membership at that position. */
@Serializable
internal data class SnapshotMeta(val index: Long, val term: Long, val membership: Membership)

/** A chunk of a snapshot of [totalBytes] bytes. */
@Serializable
@SerialName("installSnapshot")
internal data class InstallSnapshot(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val meta: SnapshotMeta,
    val offset: Long,
    val totalBytes: Long,
    val data: Blob,
    val readRound: Long
) : ConsensusMessage

/** Asks for the chunk at [nextOffset]; [done] once the snapshot is installed and synced. */
@Serializable
@SerialName("installSnapshotReply")
internal data class InstallSnapshotReply(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long,
    val index: Long,
    val nextOffset: Long,
    val done: Boolean,
    val readRound: Long
) : ConsensusMessage

/** The leader asks the receiver to start an election at once. */
@Serializable
@SerialName("timeoutNow")
internal data class TimeoutNow(
    override val from: ReplicaId,
    override val to: ReplicaId,
    override val term: Long
) : ConsensusMessage

/** Sent by a replica that hears from no leader; asks to join or to form the first membership. */
@Serializable
@SerialName("hello")
internal data class Hello(override val from: ReplicaId, val hostId: HostId) : RaftMessage

/**
 * Reply to [Hello].
 *
 * @property blank the sender's folder holds neither an entry nor a term
 * @property mayForm the sender may start the first log of the cell
 * @property leader host that accepts join requests, when known
 */
@Serializable
@SerialName("helloReply")
internal data class HelloReply(
    override val from: ReplicaId,
    val hostId: HostId,
    val blank: Boolean,
    val mayForm: Boolean = true,
    val leader: HostId? = null
) : RaftMessage

/** Sent by a member that stops, until the reply is final. */
@Serializable
@SerialName("leave")
internal data class Leave(override val from: ReplicaId) : RaftMessage

/** The leader's reply to [Leave]. */
@Serializable
@SerialName("leaveReply")
internal data class LeaveReply(override val from: ReplicaId, val departure: Departure) : RaftMessage

/** Asks for records from [number] on; [offset] continues a record that did not fit. */
@Serializable
@SerialName("recordFetch")
internal data class RecordFetch(override val from: ReplicaId, val number: Long, val offset: Int) :
    RaftMessage

/** Records in order of number; empty when the sender lacks the first one requested. */
@Serializable
@SerialName("recordBatch")
internal data class RecordBatch(override val from: ReplicaId, val parts: List<RecordPart>) :
    RaftMessage

/** The bytes of a record from [offset] on. */
@Serializable
internal data class RecordPart(
    val number: Long,
    val offset: Int,
    val totalBytes: Int,
    val chainHash: Blob,
    val data: Blob
)
