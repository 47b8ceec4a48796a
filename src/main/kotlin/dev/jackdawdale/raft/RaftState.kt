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
 * @property maxInFlightBytes entries sent to one peer and not answered, unless a single one is
 *   larger; a peer that lacks much must not take the processor time and the network of those that
 *   make the quorum
 * @property replaceAfterMs silence after which a member counts as replaced
 * @property startPatienceMs how long a replica that has just started waits for a leader; asking
 *   for votes disturbs no leader that a quorum hears
 * @property calmAfterMs each further term that begins within this time lengthens the election
 *   timeout by once its value, up to [maxTimeoutFactor] times
 * @property suspectAfterMs how long a leader whose connection has ended may stay silent
 * @property maxAppendBytes size of one message to a peer that is behind; large ones hold up
 *   heartbeats behind them
 */
internal data class RaftSettings(
    val electionTimeoutMs: Long = 1_000,
    val heartbeatMs: Long = 150,
    val startPatienceMs: Long = electionTimeoutMs,
    val suspectAfterMs: Long = electionTimeoutMs / 3,
    val calmAfterMs: Long = 5_000,
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
     * One message with entries until the common prefix of the logs is known; heartbeats go on and
     * find it when that message or its answer is lost.
     */
    PROBE,

    /** Entries are sent without waiting for earlier replies. */
    REPLICATE,

    /** The peer needs entries that the log no longer holds. */
    SNAPSHOT
}

/**
 * What the leader knows of one peer.
 *
 * @property inFlight the appends that were not answered
 * @property waiting in [Mode.PROBE] and [Mode.SNAPSHOT]: entries or a chunk are not answered
 * @property chunkSentMs when the last chunk of a snapshot was sent
 */
internal data class Progress(
    val matchIndex: Long = 0,
    val nextIndex: Long,
    val mode: Mode = Mode.PROBE,
    val inFlight: PersistentList<InFlight> = persistentListOf(),
    val waiting: Boolean = false,
    val chunkSentMs: Long = 0,
    val snapshotIndex: Long = 0,
    val snapshotOffset: Long = 0,
    val readRound: Long = 0,
    val lastHeardMs: Long
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

/** A time before all others whose distance to any time does not overflow. */
internal const val NEVER_MS = Long.MIN_VALUE / 2

/**
 * The whole state of the consensus core of one replica.
 *
 * @property durableIndex last index known to be synced on this replica
 * @property ready the leader has committed an entry of its own term
 * @property termsBeganMs when this replica learned of each of the latest terms
 * @property random state of the generator of election timeouts
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
    val termsBeganMs: PersistentList<Long> = persistentListOf(),
    val random: Long
)

internal val RaftState.membership: Membership get() = log.membership

internal val RaftState.lastIndex: Long get() = log.lastIndex

/** True when the folder holds neither an entry nor a term. */
internal val RaftState.isBlank: Boolean
    get() = term == 0L && lastIndex == 0L && log.membership.members.isEmpty()

/**
 * How long a leader may stay silent. Longer while terms follow each other quickly: then the
 * processes are too busy to keep the short time, and each new leader makes them busier.
 */
internal fun RaftState.electionTimeoutMs(nowMs: Long): Long {
    val recent = termsBeganMs.count { nowMs - it < settings.calmAfterMs }
    return settings.electionTimeoutMs * recent.coerceIn(1, settings.maxTimeoutFactor)
}

/** The state in a [newTerm], without a vote. */
internal fun RaftState.inTerm(newTerm: Long, nowMs: Long): RaftState = copy(
    term = newTerm,
    votedFor = null,
    termsBeganMs = (termsBeganMs.takeLast(settings.maxTimeoutFactor - 1) + nowMs)
        .toPersistentList()
)

/** The latest time at or after which a quorum of voters was heard, this replica included. */
internal fun RaftState.quorumHeardMs(nowMs: Long): Long = quorumValue { id ->
    if (id == self) nowMs else peers[id]?.lastHeardMs ?: NEVER_MS
}

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
    random = seed
).withElectionDue(nowMs, settings.startPatienceMs)

/**
 * Draws the next election timeout: at least [patienceMs], then the voters one after the other, so
 * that two of them seldom ask for the same votes. Each term begins with another voter.
 */
internal fun RaftState.withElectionDue(
    nowMs: Long,
    patienceMs: Long = electionTimeoutMs(nowMs)
): RaftState {
    val next = random + GOLDEN_GAMMA
    var mixed = (next xor (next ushr 30)) * -0x40a7b892e31b1a47L
    mixed = (mixed xor (mixed ushr 27)) * -0x6b2fb644ecceee15L
    val voters = membership.voters
    val turns = maxOf(1, voters.size)
    val own = voters.indexOfFirst { it.replicaId == self }
    val turn = if (own < 0) 0 else Math.floorMod(own + term, turns.toLong())
    val turnMs = maxOf(1, settings.electionTimeoutMs / turns)
    val extraMs = turn * turnMs + Math.floorMod(mixed xor (mixed ushr 31), turnMs)
    return copy(random = next, electionDueMs = nowMs + patienceMs + extraMs)
}

// Increment of the SplitMix64 generator.
private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
