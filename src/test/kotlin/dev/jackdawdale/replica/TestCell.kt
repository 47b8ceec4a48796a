package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.raft.Append
import dev.jackdawdale.raft.Departure
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.raft.Role
import dev.jackdawdale.storage.StorageError
import kotlin.random.Random
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Message faults, each a probability. */
internal data class Faults(
    val drop: Double = 0.0,
    val duplicate: Double = 0.0,
    val reorder: Double = 0.0
)

private class Envelope(val from: HostId, val to: HostId, val message: RaftMessage)

/** Replicas on one thread, with a clock, a network and disks that a test controls. */
internal class TestCell(
    seed: Long,
    hosts: Int = 3,
    private val adjust: (ReplicaSettings) -> ReplicaSettings = { it }
) {
    val random = Random(seed)
    val hostIds = (1..hosts).map { HostId("h$it") }
    val nodes = hostIds.associateWith { TestNode(it) }
    var nowMs = 1_000L
    var faults = Faults()

    /** Probability that a disk runs no task when it is its turn. */
    var diskLag = 0.0
    val cutOff = mutableSetOf<HostId>()

    /** Drops the messages for which it returns true. */
    var isLost: (to: HostId, message: RaftMessage) -> Boolean = { _, _ -> false }

    /** Payload bytes of the entries sent to a host, in total and at most in flight at once. */
    val sentBytes = mutableMapOf<HostId, Long>()
    val peakInFlightBytes = mutableMapOf<HostId, Long>()
    private val network = mutableListOf<Envelope>()

    /** The commands committed so far by log index; an apply that differs fails the test. */
    val committed = sortedMapOf<Long, String>()
    private val leaders = mutableMapOf<Long, ReplicaId>()
    private var identities = 0

    inner class TestNode(val hostId: HostId) {
        var storage = newStorage()
        var replica: Replica? = null
        var applied = emptyList<String>()
        var storageError: StorageError? = null
        var leadsTerm: Long? = null
        var quorumLost = false
        var toleratedLosses: Int? = null

        /** What the leader decided about this replica when it stopped, if it did. */
        var departure: Departure? = null
        private var starts = 0
        private val control = ArrayDeque<Runnable>()
        private val disk = ArrayDeque<Runnable>()

        fun start() {
            val thisStart = ++starts
            control.clear()
            disk.clear()
            applied = emptyList()
            leadsTerm = null
            quorumLost = false
            toleratedLosses = null
            departure = null
            val settings = adjust(
                ReplicaSettings(hostId, hostIds, seed = random.nextLong())
            )
            val threads = ReplicaThreads(
                control = { if (starts == thisStart) control.addLast(it) },
                storage = { if (starts == thisStart) disk.addLast(it) }
            )
            replica = replica(settings, storage, callbacks(), threads, nowMs)
                .also { it.start(nowMs) }
        }

        fun crash() {
            starts++
            replica = null
        }

        /** Hands leadership over and asks to leave, as a process does when it is told to stop. */
        fun beginStop() {
            replica?.transferLeadership(nowMs)
            replica?.leave(nowMs) { departure = it }
        }

        /** Ends once it is decided whether this stays a member, or after [limitMs]. */
        fun stop(limitMs: Long) {
            beginStop()
            runUntil(limitMs) { departure != null }
            crash()
        }

        fun loseDisk() {
            crash()
            storage = newStorage()
        }

        fun runControl() {
            while (control.isNotEmpty()) control.removeFirst().run()
        }

        /** Runs one disk task; tasks that did not run are lost in a crash. */
        fun runDisk() {
            if (random.nextDouble() >= diskLag) disk.removeFirstOrNull()?.run()
        }

        val hasWork: Boolean get() = control.isNotEmpty() || disk.isNotEmpty()

        private fun newStorage() = MemoryStorage(ReplicaId("r${++identities}"))

        private fun callbacks() = ReplicaCallbacks(
            send = { to, message ->
                network += Envelope(hostId, to, message)
                countSent(to, message)
            },
            apply = { index, payload ->
                val command = payload.decodeToString()
                val known = committed.getOrPut(index) { command }
                check(known == command) { "$hostId applied $command at $index instead of $known" }
                applied = applied + command
            },
            restore = { _, snapshot -> applied = cellCbor.decodeFromByteArray(snapshot) },
            capture = { applied.let { state -> { cellCbor.encodeToByteArray(state) } } },
            becameLeader = { leadsTerm = it },
            lostLeadership = { leadsTerm = null },
            quorumLost = { quorumLost = it },
            toleratedLosses = { toleratedLosses = it },
            storageFailed = { storageError = it }
        )
    }

    fun startAll() = nodes.values.forEach { it.start() }

    val leader: TestNode?
        get() = nodes.values
            .filter { it.leadsTerm != null && it.replica != null }
            .maxByOrNull { checkNotNull(it.leadsTerm) }

    fun runFor(durationMs: Long) = runUntil(durationMs) { false }

    /** Advances the clock until [done]; false when that takes longer than [limitMs]. */
    fun runUntil(limitMs: Long, done: () -> Boolean): Boolean {
        val endMs = nowMs + limitMs
        while (nowMs < endMs) {
            if (done()) return true
            tick(STEP_MS)
        }
        return done()
    }

    fun tick(stepMs: Long) {
        nowMs += stepMs
        nodes.values.forEach { it.replica?.tick(nowMs) }
        var deliveries = 0
        while (deliveries++ < MAX_DELIVERIES_PER_STEP && deliverOne()) Unit
        nodes.values.forEach { node ->
            node.runControl()
            node.runDisk()
            node.runControl()
        }
        checkLeaders()
    }

    private fun countSent(to: HostId, message: RaftMessage) {
        sentBytes.merge(to, message.entryBytes, Long::plus)
        val inFlightBytes = network.filter { it.to == to }.sumOf { it.message.entryBytes }
        peakInFlightBytes.merge(to, inFlightBytes, ::maxOf)
    }

    private val RaftMessage.entryBytes: Long
        get() = (this as? Append)?.entries.orEmpty().sumOf { it.payload.sizeBytes.toLong() }

    private fun deliverOne(): Boolean {
        if (network.isEmpty()) return false
        val position = if (random.nextDouble() < faults.reorder) {
            random.nextInt(network.size)
        } else {
            0
        }
        val envelope = network[position]
        if (random.nextDouble() >= faults.duplicate) network.removeAt(position)
        val lost = random.nextDouble() < faults.drop ||
            envelope.from in cutOff ||
            envelope.to in cutOff ||
            isLost(envelope.to, envelope.message)
        if (!lost) deliver(envelope)
        return true
    }

    private fun deliver(envelope: Envelope) {
        val node = nodes.getValue(envelope.to)
        val bytes = cellCbor.encodeToByteArray(envelope.message)
        check(bytes.size < MAX_FRAME_BYTES) { "message of ${bytes.size} bytes exceeds a frame" }
        node.replica?.receive(envelope.from, cellCbor.decodeFromByteArray(bytes), nowMs)
        node.runControl()
        node.runDisk()
        node.runControl()
    }

    private fun checkLeaders() {
        for (node in nodes.values) {
            val status = node.replica?.status(nowMs) ?: continue
            if (status.role != Role.LEADER) continue
            val known = leaders.getOrPut(status.term) { status.replicaId }
            check(known == status.replicaId) { "two leaders in term ${status.term}" }
        }
    }

    /** Two logs with an equal term at an index hold equal entries up to there. */
    fun checkLogMatching() {
        val logs = nodes.values.map { it.storage.entries.associateBy { entry -> entry.index } }
        for (a in logs) {
            for (b in logs) {
                var matched = false
                for (index in a.keys.intersect(b.keys).sortedDescending()) {
                    val first = a.getValue(index)
                    val second = b.getValue(index)
                    matched = matched || first.term == second.term
                    check(!matched || first == second) {
                        "logs differ at $index: $first and $second"
                    }
                }
            }
        }
    }

    private companion object {
        const val STEP_MS = 10L
        const val MAX_DELIVERIES_PER_STEP = 200
        const val MAX_FRAME_BYTES = 1024 * 1024
    }
}
