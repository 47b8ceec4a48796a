package dev.jackdawdale.raft

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList

/**
 * Timing and limits of the consensus core.
 *
 * @property targetMembers a silent member is removed while there are more than this many, so that a
 *   replacement at another address takes its place; null keeps every member
 * @property maxInFlightBytes limit of unacknowledged entries sent to one peer; a single larger
 *   entry may exceed it. Keeps a lagging peer from taking CPU time and network from the quorum
 * @property replaceAfterMs silence after which a surplus member may be removed that has answered
 *   this leader before
 * @property startupElectionDelayMs how long a replica waits for a leader after its start; its
 *   requests for votes do not disturb a leader that a quorum hears from
 * @property termWindowMs the election timeout is multiplied by the number of terms that began
 *   within this time, at most by [maxTimeoutFactor]
 * @property disconnectedLeaderTimeoutMs how long a leader whose connection was closed may stay
 *   silent
 * @property maxAppendBytes size limit of one append or snapshot chunk; larger messages would delay
 *   the heartbeats behind them
 */
internal data class RaftSettings(
    val electionTimeoutMs: Long = 1_000,
    val heartbeatMs: Long = 150,
    val startupElectionDelayMs: Long = electionTimeoutMs,
    val disconnectedLeaderTimeoutMs: Long = electionTimeoutMs / 3,
    val termWindowMs: Long = 5_000,
    val maxTimeoutFactor: Int = 3,
    val maxAppendBytes: Int = 16 * 1024,
    val maxInFlightAppends: Int = 64,
    val maxInFlightBytes: Int = 32 * 1024,
    val promoteWithinEntries: Long = 256,
    val targetMembers: Int? = null,
    val replaceAfterMs: Long = 3_000
)

internal enum class Role { FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER }

/** How the leader replicates to one peer. */
internal enum class Mode {
    /**
     * One message with entries is in flight until the common prefix of the logs is known. If it
     * or its reply is lost, heartbeats still find the prefix.
     */
    PROBE,

    /** Entries are sent without waiting for earlier replies. */
    REPLICATE,

    /** The peer needs entries that the log no longer holds. */
    SNAPSHOT
}

/**
 * Replication progress of one peer, as known to the leader.
 *
 * @property inFlight appends without a reply so far
 * @property awaitingReply in [Mode.PROBE] and [Mode.SNAPSHOT]: entries or a chunk have no reply
 * @property lastHeardMs when the last reply came; before the first one, when the wait for it began
 * @property hasAnswered whether it has replied to this leader, in this term
 * @property chunkSentMs when the last chunk of a snapshot was sent
 */
internal data class Progress(
    val matchIndex: Long = 0,
    val nextIndex: Long,
    val mode: Mode = Mode.PROBE,
    val inFlight: PersistentList<InFlight> = persistentListOf(),
    val awaitingReply: Boolean = false,
    val chunkSentMs: Long = 0,
    val snapshotIndex: Long = 0,
    val snapshotOffset: Long = 0,
    val readRound: Long = 0,
    val lastHeardMs: Long,
    val hasAnswered: Boolean = false
)

/** An append that ends at [lastIndex] and carries entries of [bytes]. */
internal data class InFlight(val lastIndex: Long, val bytes: Int)

/** A read that waits for a quorum to confirm the leader in [round]. */
internal data class PendingRead(val readId: Long, val round: Long, val index: Long)

/** The snapshot that is being received. */
internal data class IncomingSnapshot(
    val meta: SnapshotMeta,
    val nextOffset: Long,
    val installing: Boolean
)

/** A time before all others; subtracting it from any time does not overflow. */
internal const val NEVER_MS = Long.MIN_VALUE / 2

/**
 * The whole state of the consensus core of one replica.
 *
 * @property durableIndex last index known to be synced on this replica
 * @property ready the leader has committed an entry of its own term
 * @property recentTermStartsMs when this replica learned of each of the latest terms
 * @property randomState state of the generator of election timeouts
 */
internal data class RaftState(
    val settings: RaftSettings,
    val self: ReplicaId,
    val log: RaftLog,
    val term: Long = 0,
    val votedFor: ReplicaId? = null,
    val role: Role = Role.FOLLOWER,
    val leader: ReplicaId? = null,
    val durableIndex: Long = log.lastIndex,
    val commitIndex: Long = log.snapshot.index,
    val electionDueMs: Long = 0,
    val leaderHeardMs: Long = NEVER_MS,
    val heartbeatDueMs: Long = 0,
    val votes: PersistentSet<ReplicaId> = persistentSetOf(),
    val peers: PersistentMap<ReplicaId, Progress> = persistentMapOf(),
    val termStartIndex: Long = 0,
    val ready: Boolean = false,
    val readRound: Long = 0,
    val reads: PersistentList<PendingRead> = persistentListOf(),
    val transferTo: ReplicaId? = null,
    val transferDueMs: Long = 0,
    val incoming: IncomingSnapshot? = null,
    val recentTermStartsMs: PersistentList<Long> = persistentListOf(),
    val randomState: Long
)

internal val RaftState.membership: Membership get() = log.membership

internal val RaftState.lastIndex: Long get() = log.lastIndex

/** True when the folder holds neither an entry nor a term. */
internal val RaftState.isBlank: Boolean
    get() = term == 0L && lastIndex == 0L && log.membership.members.isEmpty()

/**
 * How long a leader may stay silent. Longer while terms change quickly: the processes are then too
 * busy for the short timeout, and each new leader adds to their load.
 */
internal fun RaftState.electionTimeoutMs(nowMs: Long): Long {
    val recent = recentTermStartsMs.count { nowMs - it < settings.termWindowMs }
    return settings.electionTimeoutMs * recent.coerceIn(1, settings.maxTimeoutFactor)
}

/** The state in a [newTerm], without a vote. */
internal fun RaftState.withTerm(newTerm: Long, nowMs: Long): RaftState = copy(
    term = newTerm,
    votedFor = null,
    recentTermStartsMs = (recentTermStartsMs.takeLast(settings.maxTimeoutFactor - 1) + nowMs)
        .toPersistentList()
)

/** The latest time since which a quorum of voters, this replica included, was heard from. */
internal fun RaftState.quorumHeardMs(nowMs: Long): Long = quorumValue { id ->
    if (id == self) nowMs else peers[id]?.lastHeardMs ?: NEVER_MS
}

/**
 * The number of voters, this leader included, that it has heard from within a timeout. A new leader
 * doesn't count those that have not answered it yet.
 */
internal fun RaftState.answeringVoters(nowMs: Long): Int {
    val timeoutMs = electionTimeoutMs(nowMs)
    return membership.voters.count { voter ->
        val peer = peers[voter.replicaId]
        voter.replicaId == self ||
            (peer != null && peer.hasAnswered && nowMs - peer.lastHeardMs <= timeoutMs)
    }
}

/**
 * How many more voters the cell can lose and still have a quorum, as far as this leader knows.
 * Negative while it has none.
 */
internal fun RaftState.toleratedLosses(nowMs: Long): Int =
    answeringVoters(nowMs) - membership.quorum

/** The greatest value that a quorum of voters has reached. */
internal inline fun RaftState.quorumValue(valueOf: (ReplicaId) -> Long): Long {
    val values = membership.voters.map { valueOf(it.replicaId) }.sortedDescending()
    return if (values.isEmpty()) NEVER_MS else values[membership.quorum - 1]
}

/** State of a replica that starts with what its folder holds. */
internal fun raftState(
    settings: RaftSettings,
    self: ReplicaId,
    term: Long,
    votedFor: ReplicaId?,
    log: RaftLog,
    seed: Long,
    nowMs: Long
): RaftState = RaftState(
    settings = settings,
    self = self,
    log = log,
    term = term,
    votedFor = votedFor,
    randomState = seed
).withElectionDue(nowMs, settings.startupElectionDelayMs)

/**
 * Draws the next election deadline: [minDelayMs] plus a random time in this voter's slot. Each
 * voter has its own slot, so that two seldom compete for votes; the order rotates by term.
 */
internal fun RaftState.withElectionDue(
    nowMs: Long,
    minDelayMs: Long = electionTimeoutMs(nowMs)
): RaftState {
    val next = randomState + GOLDEN_GAMMA
    var mixed = (next xor (next ushr 30)) * -0x40a7b892e31b1a47L
    mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
    val voters = membership.voters
    val slots = maxOf(1, voters.size)
    val position = voters.indexOfFirst { it.replicaId == self }
    val slot = if (position < 0) 0 else Math.floorMod(position + term, slots.toLong())
    val slotMs = maxOf(1, settings.electionTimeoutMs / slots)
    val extraMs = slot * slotMs + Math.floorMod(mixed xor (mixed ushr 31), slotMs)
    return copy(randomState = next, electionDueMs = nowMs + minDelayMs + extraMs)
}

// Increment of the SplitMix64 generator.
private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
