package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.ConsensusMessage
import dev.jackdawdale.raft.Departure
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.Hello
import dev.jackdawdale.raft.HelloReply
import dev.jackdawdale.raft.Leave
import dev.jackdawdale.raft.LeaveReply
import dev.jackdawdale.raft.MemberChange
import dev.jackdawdale.raft.RaftEffect
import dev.jackdawdale.raft.RaftInput
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.RecordBatch
import dev.jackdawdale.raft.RecordFetch
import dev.jackdawdale.raft.Role
import dev.jackdawdale.raft.lastIndex
import dev.jackdawdale.raft.lastTerm
import dev.jackdawdale.raft.member
import dev.jackdawdale.raft.membership
import dev.jackdawdale.raft.step
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageWrite
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.replica")

/**
 * One member of the replicated log. All functions are called on the control thread; times are
 * milliseconds of one monotonic clock.
 *
 * ```
 * val replica = replica(settings, replicaFolder(path), callbacks, control, storageThread)
 * replica.start(nowMs)
 * // every few milliseconds: replica.tick(nowMs)
 * // for each message of the transport: replica.receive(from, message, nowMs)
 * ```
 */
internal class Replica internal constructor(
    private val settings: ReplicaSettings,
    private val callbacks: ReplicaCallbacks,
    private val threads: ReplicaThreads,
    private var state: RaftState,
    private val parts: ReplicaParts
) {
    private val queue = StorageQueue(
        parts.storage,
        threads.control,
        threads.storage,
        ::fail
    )
    private val assembler = CommandAssembler()
    private val membershipRequests =
        MembershipRequests(settings, { state }, { run(it) }, callbacks.send)
    private val snapshots = Snapshots(
        settings,
        callbacks,
        threads,
        parts.storage,
        parts.records,
        queue
    )
    private val calls = PendingCalls()
    private val fetcher = parts.records?.let {
        RecordFetcher(state.self, it, threads, callbacks.send)
    }
    private var appliedIndex = state.commitIndex
    private var nowMs = 0L
    private val laggingMemberLog = LaggingMemberLog()
    private val lostQuorum = LostQuorumWatch(callbacks.quorumLost)
    private val lossMargin = LossMarginWatch(callbacks.toleratedLosses)
    private var stopped = false
    private var storageError: StorageError? = null
    private var writes = mutableListOf<StorageWrite>()
    private var heldSends = mutableListOf<RaftEffect.Send>()
    private val pendingEffects = ArrayDeque<RaftEffect>()
    private var performing = false

    /** Restores the state from the data folder and joins the consensus protocol. */
    fun start(nowMs: Long) {
        this.nowMs = nowMs
        parts.snapshot?.let { callbacks.restore(it.meta.index, it.bytes) }
        tick(nowMs)
    }

    /** Advances timers; to be called at least every 50 ms. */
    fun tick(nowMs: Long) {
        if (stopped) return
        this.nowMs = nowMs
        run(RaftInput.Tick)
        membershipRequests.tick(nowMs)
        takeSnapshotIfDue()
        laggingMemberLog.tick(state, nowMs)
        lostQuorum.tick(state, nowMs)
        lossMargin.tick(state, nowMs)
        val others = state.membership.members.map { it.hostId }.filter { it != settings.hostId }
        fetcher?.tick(others, nowMs)
    }

    /** Takes a message that [from] sent. */
    fun receive(from: HostId, message: RaftMessage, nowMs: Long) {
        if (stopped) return
        this.nowMs = nowMs
        when (message) {
            is ConsensusMessage -> run(RaftInput.Receive(from, message))
            is Hello -> {
                lostQuorum.asksToJoin(from, message.from)
                membershipRequests.onHello(from, message)
            }

            is HelloReply -> membershipRequests.onHelloReply(message, nowMs)
            is Leave -> membershipRequests.onLeave(from, message)
            is LeaveReply -> membershipRequests.onLeaveReply(message)
            is RecordFetch -> fetcher?.serve(from, message)
            is RecordBatch -> fetcher?.onBatch(from, message, nowMs)
        }
    }

    /** Reports that the connection from [from] was closed; a new one may follow at once. */
    fun connectionEnded(from: HostId, nowMs: Long) {
        if (stopped) return
        this.nowMs = nowMs
        run(RaftInput.ConnectionEnded(from))
    }

    /** Whether this replica leads and no transfer of leadership is in progress. */
    val acceptsProposals: Boolean get() = !stopped && state.ready && state.transferTo == null

    /** Appends a command when this replica leads. It is committed once `apply` is called. */
    fun propose(payload: ByteArray, nowMs: Long): ProposeResult {
        if (stopped) return ProposeResult.NotLeader(null)
        this.nowMs = nowMs
        val appended = run(RaftInput.Propose(commandParts(payload)))
            .firstNotNullOfOrNull { it as? RaftEffect.Appended }
            ?: return ProposeResult.NotLeader(leaderHost())
        return ProposeResult.Appended(appended.index, appended.term)
    }

    /** Calls [onResult] once the applied state holds everything committed before this call. */
    fun read(nowMs: Long, onResult: (ReadResult) -> Unit) {
        if (stopped) return onResult(ReadResult.NotLeader(null))
        this.nowMs = nowMs
        run(RaftInput.Read(calls.addRead(onResult)))
    }

    /** Transfers leadership to the most up-to-date voter; a no-op unless this replica leads. */
    fun transferLeadership(nowMs: Long) {
        if (stopped) return
        this.nowMs = nowMs
        run(RaftInput.TransferLeadership)
    }

    /**
     * Announces that this replica stops; from now on it doesn't ask to join. Calls [onResult] once
     * the leader has decided whether it stays a member. Until then it should keep running, as the
     * others may need its vote.
     */
    fun leave(nowMs: Long, onResult: (Departure) -> Unit) {
        if (stopped) return
        this.nowMs = nowMs
        membershipRequests.leave(nowMs, onResult)
    }

    /** Changes one member; at most one change is in progress at any time. */
    fun changeMembers(change: MemberChange, nowMs: Long, onResult: (ChangeResult) -> Unit) {
        if (stopped) return onResult(ChangeResult.Refused("the replica has stopped"))
        this.nowMs = nowMs
        val answer = run(RaftInput.ChangeMembers(change))
            .first { it is RaftEffect.Appended || it is RaftEffect.Rejected }
        when (answer) {
            is RaftEffect.Appended -> calls.addChange(answer, onResult)
            is RaftEffect.Rejected -> onResult(ChangeResult.Refused(answer.reason.name.lowercase()))
            else -> Unit
        }
    }

    /** The status of this replica at [nowMs]. */
    fun status(nowMs: Long): ReplicaStatus = replicaStatus(state, nowMs, appliedIndex, storageError)

    /**
     * Stops the replica. A write already on the storage thread still completes, so close the data
     * folder on that thread, after this call.
     */
    fun stop() {
        if (stopped) return
        stopped = true
        queue.close()
        calls.failAll(null)
    }

    private fun leaderHost(): HostId? = state.leader?.let { state.membership.member(it)?.hostId }

    /**
     * Performs one step: submits its writes and messages, then runs the callbacks in order, which
     * may call this replica again.
     */
    private fun run(input: RaftInput): List<RaftEffect> {
        val result = step(state, input, nowMs)
        if (result.state.membership != state.membership) {
            log.info("the members are now {}", result.state.membership)
        }
        state = result.state
        result.effects.forEach(::prepare)
        flush()
        pendingEffects += result.effects
        if (!performing) performPending()
        return result.effects
    }

    private fun performPending() {
        performing = true
        while (pendingEffects.isNotEmpty()) perform(pendingEffects.removeFirst())
        performing = false
    }

    private fun prepare(effect: RaftEffect) {
        when (effect) {
            is RaftEffect.WriteVote -> writes += StorageWrite.Vote(effect.term, effect.votedFor)
            is RaftEffect.WriteEntries -> writes += StorageWrite.Entries(effect.entries)
            is RaftEffect.Send -> send(effect)
            is RaftEffect.SendSnapshot -> snapshots.sendChunk(effect)
            is RaftEffect.StoreChunk -> snapshots.storeChunk(effect.chunk)
            is RaftEffect.Install -> install(effect)
            else -> Unit
        }
    }

    private fun perform(effect: RaftEffect) {
        when (effect) {
            is RaftEffect.Commit -> effect.entries.forEach(::apply)
            is RaftEffect.BecameLeader -> callbacks.becameLeader(effect.term)
            is RaftEffect.LostLeadership -> lostLeadership(effect)
            is RaftEffect.ReadReady -> calls.readReady(effect)
            is RaftEffect.ReadFailed -> calls.readFailed(effect.readId, leaderHost())
            else -> Unit
        }
    }

    private fun send(effect: RaftEffect.Send) {
        val mustWait = effect.afterSync && (writes.isNotEmpty() || !queue.isIdle)
        if (mustWait) heldSends += effect else callbacks.send(effect.to, effect.message)
    }

    /** Submits the writes of a step and the messages to send once they are durable. */
    private fun flush() {
        if (writes.isEmpty() && heldSends.isEmpty()) return
        val sends = heldSends
        val persisted = RaftInput.Persisted(state.term, state.lastIndex, state.log.lastTerm)
        val batch = StorageBatch(writes) {
            if (!stopped) {
                sends.forEach { callbacks.send(it.to, it.message) }
                run(persisted)
            }
        }
        writes = mutableListOf()
        heldSends = mutableListOf()
        queue.submit(batch)
    }

    private fun apply(entry: Entry) {
        val command = assembler.add(entry)
        appliedIndex = entry.index
        if (command != null) callbacks.apply(entry.index, command)
        snapshots.countApplied(entry)
        calls.committed(entry)
    }

    private fun install(effect: RaftEffect.Install) {
        val snapshot = snapshots.takeReceived(effect.meta)
        queue.submit(
            StorageBatch(listOf(StorageWrite.Install(snapshot))) {
                if (!stopped) {
                    assembler.clear()
                    appliedIndex = snapshot.meta.index
                    callbacks.restore(snapshot.meta.index, snapshot.bytes)
                    run(RaftInput.SnapshotInstalled(snapshot.meta))
                }
            }
        )
    }

    private fun takeSnapshotIfDue() {
        if (assembler.isPartial) return
        snapshots.takeIfDue(state, appliedIndex) { taken ->
            if (!stopped) run(taken)
        }
    }

    private fun lostLeadership(effect: RaftEffect.LostLeadership) {
        calls.failChanges()
        callbacks.lostLeadership(effect.term)
    }

    /** Stops permanently after a failed write: what the disk holds is no longer certain. */
    private fun fail(error: StorageError) {
        if (storageError != null) return
        storageError = error
        val ledTerm = state.term.takeIf { state.role == Role.LEADER && state.ready }
        stop()
        ledTerm?.let(callbacks.lostLeadership)
        callbacks.storageFailed(error)
    }
}
