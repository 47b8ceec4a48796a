package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.RaftSettings
import io.kotest.assertions.withClue
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe

/** Far longer than any election or transfer of the state takes. */
internal const val RECOVERY_LIMIT_MS = 30_000L

/** Shortest time that a deployment grants a new host before it counts as able to be needed. */
internal const val CATCH_UP_MS = 4_000L

/** Time from the announcement of a stop until the process is killed. */
internal const val GRACE_MS = 5_000L

/**
 * A cell in which hosts are replaced. Hosts beyond the first [members] start as successors.
 *
 * @property tolerated number of hosts with a disk that may be lost at a time
 */
internal class ReplacementPlay(val members: Int, seed: Long, successors: Int = 2) {
    val tolerated = members / 2
    private val gone = mutableSetOf<HostId>()
    private var isFirstStart = true
    val cell = TestCell(seed, members + successors) {
        it.copy(
            hosts = (it.hosts - gone).take(members),
            allowUnlistedHosts = true,
            mayFormCell = isFirstStart,
            raft = RaftSettings(
                electionTimeoutMs = 360,
                heartbeatMs = 80,
                disconnectedLeaderTimeoutMs = 160,
                startupElectionDelayMs = 160,
                targetMembers = members
            )
        )
    }
    val all = cell.nodes.values.toList()
    val originals = all.take(members)
    val follower: TestCell.TestNode get() = originals.first { it != cell.leader && it.isUp }

    /** When the hosts that were started again, or that are new, no longer count as lost. */
    val readyAtMs = mutableMapOf<HostId, Long>()

    val TestCell.TestNode.isUp: Boolean get() = replica != null

    fun start() {
        originals.forEach { it.start() }
        isFirstStart = false
        cell.runUntil(RECOVERY_LIMIT_MS) { votersUp() == members } shouldBe true
        commit()
    }

    fun commit() {
        val before = cell.committed.size
        cell.runUntil(RECOVERY_LIMIT_MS) {
            cell.leader?.replica?.propose("c${cell.nowMs}".encodeToByteArray(), cell.nowMs)
            cell.committed.size > before
        } shouldBe true
    }

    private fun votersUp(): Int {
        val status = cell.leader?.replica?.status(cell.nowMs) ?: return 0
        val up = all.filter { it.isUp }.map { it.storage.replicaId }
        return status.members.count { it.voter && it.replicaId in up }
    }

    fun startSuccessor(number: Int = 0): TestCell.TestNode = all[members + number].apply {
        start()
        readyAtMs[hostId] = cell.nowMs + CATCH_UP_MS
    }

    fun awaitVote(node: TestCell.TestNode) = cell.runUntil(RECOVERY_LIMIT_MS) {
        val voters = cell.leader?.replica?.status(cell.nowMs)?.members.orEmpty()
        voters.any { it.voter && it.replicaId == node.storage.replicaId }
    } shouldBe true

    fun stop(node: TestCell.TestNode) {
        gone += node.hostId
        node.stop(GRACE_MS)
    }

    fun kill(node: TestCell.TestNode) {
        gone += node.hostId
        node.crash()
    }

    /** Loses the disk of a host that comes back at once. */
    fun wipe(node: TestCell.TestNode) {
        node.loseDisk()
        node.start()
        readyAtMs[node.hostId] = cell.nowMs + CATCH_UP_MS
    }

    fun restart(node: TestCell.TestNode) {
        node.stop(GRACE_MS)
        node.start()
        readyAtMs[node.hostId] = cell.nowMs + CATCH_UP_MS
    }

    fun changeLeader() {
        val old = cell.leader!!
        old.replica!!.transferLeadership(cell.nowMs)
        cell.runUntil(RECOVERY_LIMIT_MS) { cell.leader.let { it != null && it != old } } shouldBe
            true
    }

    /** Waits until every running host votes and holds all that was committed. */
    fun awaitRecovery() {
        cell.runUntil(RECOVERY_LIMIT_MS) { cell.leader != null && votersUp() == members } shouldBe
            true
        cell.leader!!.applied shouldContainAll cell.committed.values
    }

    /** Waits until no host counts as lost, then loses as many disks as are tolerated at once. */
    fun loseDisksWhenNothingIsLost() {
        val readyMs = readyAtMs.filterKeys { it !in gone }.values.maxOrNull() ?: 0
        cell.runUntil(RECOVERY_LIMIT_MS) { cell.nowMs >= readyMs }
        commit()
        val candidates = all.filter { it.isUp }.shuffled(cell.random)
        val lost = candidates.take(tolerated)
        lost.forEach { it.loseDisk() }
        lost.forEach { it.start() }
        withClue("leader after the loss of ${lost.map { it.hostId }}") { awaitRecovery() }
    }
}
