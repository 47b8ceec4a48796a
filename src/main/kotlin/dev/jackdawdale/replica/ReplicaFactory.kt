package dev.jackdawdale.replica

import dev.jackdawdale.raft.Membership
import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.raft.Role
import dev.jackdawdale.raft.SnapshotMeta
import dev.jackdawdale.raft.lastIndex
import dev.jackdawdale.raft.member
import dev.jackdawdale.raft.membership
import dev.jackdawdale.raft.quorumHeardMs
import dev.jackdawdale.raft.raftLog
import dev.jackdawdale.raft.raftState
import dev.jackdawdale.raft.toleratedLosses
import dev.jackdawdale.records.RecordStore
import dev.jackdawdale.storage.ReplicaStorage
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StoredSnapshot
import java.util.concurrent.Executor

/**
 * Threads of a replica.
 *
 * @property control runs every call and callback, one at a time
 * @property storage runs disk writes, one at a time
 * @property background encodes, writes and reads snapshots and reads records
 */
internal class ReplicaThreads(
    val control: Executor,
    val storage: Executor,
    val background: Executor = storage
)

/** Storage of a replica, and the snapshot that it held at the start. */
internal class ReplicaParts(
    val storage: ReplicaStorage,
    val snapshot: StoredSnapshot?,
    val records: RecordStore?
)

/**
 * Creates a replica on an open data folder; reads the folder on the calling thread.
 *
 * @param records when given, its missing records are fetched from the other members; a snapshot is
 *   stored, and entries are dropped, only after the records up to that index are synced
 * @throws dev.jackdawdale.storage.StorageException when the folder is damaged
 */
internal fun replica(
    settings: ReplicaSettings,
    storage: ReplicaStorage,
    callbacks: ReplicaCallbacks,
    threads: ReplicaThreads,
    nowMs: Long,
    records: RecordStore? = null
): Replica {
    val stored = storage.load()
    val meta = stored.snapshot?.meta ?: SnapshotMeta(0, 0, Membership())
    val state = raftState(
        settings = settings.raft,
        self = storage.replicaId,
        term = stored.term,
        votedFor = stored.votedFor,
        log = raftLog(meta, stored.entries),
        seed = settings.seed,
        nowMs = nowMs
    )
    val parts = ReplicaParts(storage, stored.snapshot, records)
    return Replica(settings, callbacks, threads, state, parts)
}

internal fun replicaStatus(
    state: RaftState,
    nowMs: Long,
    appliedIndex: Long,
    storageError: StorageError?
): ReplicaStatus {
    val leads = state.role == Role.LEADER
    fun heardMs(id: ReplicaId) = if (id == state.self) nowMs else state.peers[id]?.lastHeardMs
    fun match(id: ReplicaId) =
        if (id == state.self) state.durableIndex else state.peers[id]?.matchIndex
    return ReplicaStatus(
        replicaId = state.self,
        role = state.role,
        ready = state.ready && storageError == null,
        term = state.term,
        leader = state.leader?.let { state.membership.member(it)?.hostId },
        commitIndex = state.commitIndex,
        appliedIndex = appliedIndex,
        lastIndex = state.lastIndex,
        snapshotIndex = state.log.snapshot.index,
        members = state.membership.members.map {
            MemberStatus(
                it.replicaId,
                it.hostId,
                it.voter,
                if (leads) match(it.replicaId) else null,
                if (leads) heardMs(it.replicaId) else null
            )
        },
        quorumHeardAtMs = if (leads) state.quorumHeardMs(nowMs) else null,
        toleratedLosses = if (leads) state.toleratedLosses(nowMs) else null,
        storageError = storageError
    )
}
