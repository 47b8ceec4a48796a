package dev.jackdawdale.replica

import dev.jackdawdale.host.forReplica
import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.MemberChange
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.settings.HostAddress
import dev.jackdawdale.settings.Settings
import dev.jackdawdale.settings.defaultSettings
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val SEED = 11L
private const val LIMIT_MS = 30_000L

private fun startedCell(adjust: (ReplicaSettings) -> ReplicaSettings = { it }) =
    TestCell(SEED, 3, adjust).apply {
        startAll()
        runUntil(LIMIT_MS) { leader != null } shouldBe true
    }

private fun TestCell.proposeAll(count: Int) {
    val before = committed.size
    repeat(count) { leader!!.replica!!.propose("c$it".encodeToByteArray(), nowMs) }
    runUntil(LIMIT_MS) { committed.size == before + count } shouldBe true
}

private fun TestCell.voters(): Set<ReplicaId> =
    leader?.replica?.status(nowMs)?.members.orEmpty().filter { it.voter }.map { it.replicaId }
        .toSet()

private fun TestCell.currentIdentities() = nodes.values.map { it.storage.replicaId }.toSet()

private fun settingsFor(hosts: List<HostId>): Settings {
    val defaults = defaultSettings()
    val replicas = hosts.map { HostAddress(it, "127.0.0.1", 7401) }
    return defaults.copy(control = defaults.control.copy(replicas = replicas))
}

class MembershipTest :
    FunSpec({
        test("a follower that lost its disk gets a new replica ID and becomes a voter again") {
            val cell = startedCell { it.copy(snapshotEveryEntries = 20, retainedEntries = 5) }
            cell.proposeAll(100)
            val node = cell.nodes.values.first { it != cell.leader }
            val old = node.storage.replicaId
            node.loseDisk()
            node.start()
            cell.runUntil(LIMIT_MS) { cell.voters() == cell.currentIdentities() } shouldBe true
            cell.voters() shouldNotContain old
            cell.runUntil(LIMIT_MS) { node.applied.size == 100 } shouldBe true
        }

        test("the first host does not start a second log after it lost its disk") {
            val cell = startedCell()
            cell.proposeAll(10)
            val first = cell.nodes.getValue(cell.hostIds.first())
            val others = cell.nodes.values - first
            cell.nodes.values.forEach { it.crash() }
            first.loseDisk()
            first.start()
            others.first().start()
            cell.runFor(LIMIT_MS)
            first.replica!!.status(cell.nowMs).lastIndex shouldBe 0
            others.last().start()
            cell.runUntil(LIMIT_MS) { first.applied.size == 10 } shouldBe true
        }

        test(
            "a follower that lost its disk finds a leader that is not among the configured hosts"
        ) {
            val cell = TestCell(SEED, 5) {
                it.copy(
                    hosts = it.hosts.take(3),
                    allowUnlistedHosts = true,
                    raft = it.raft.copy(targetMembers = 5)
                )
            }
            val configuredHosts = cell.hostIds.take(3)
            cell.startAll()
            cell.runUntil(LIMIT_MS) { cell.voters().size == 5 } shouldBe true
            while (cell.leader!!.hostId in configuredHosts) {
                val old = cell.leader!!
                old.crash()
                cell.runUntil(LIMIT_MS) { cell.leader != null } shouldBe true
                old.start()
                cell.runFor(1_000)
            }
            cell.proposeAll(10)
            val lost = configuredHosts.map(cell.nodes::getValue).take(2)
            lost.forEach { it.loseDisk() }
            lost.forEach { it.start() }
            cell.runUntil(LIMIT_MS) { cell.voters() == cell.currentIdentities() } shouldBe true
        }

        test("a second host can be lost right after the repair of the first") {
            val cell = startedCell()
            cell.proposeAll(10)
            val (first, second) = cell.nodes.values.filter { it != cell.leader }
            first.loseDisk()
            first.start()
            cell.runUntil(LIMIT_MS) { cell.voters() == cell.currentIdentities() } shouldBe true
            second.crash()
            cell.proposeAll(10)
            cell.runUntil(LIMIT_MS) { first.applied.size == 20 } shouldBe true
        }

        test("a learner does not vote and a removed replica does not come back by itself") {
            val cell = startedCell()
            val leader = cell.leader!!
            val node = cell.nodes.values.first { it != leader }
            var result: ChangeResult? = null
            leader.replica!!.changeMembers(
                MemberChange.Remove(node.storage.replicaId),
                cell.nowMs
            ) { result = it }
            cell.cutOff += node.hostId
            cell.runUntil(LIMIT_MS) { result == ChangeResult.Committed } shouldBe true
            cell.proposeAll(10)
            cell.voters().size shouldBe 2
            cell.runFor(5_000)
            cell.leader shouldBe leader
        }

        test("a cell forms although its first host failed earlier and may no longer form it") {
            val cell = TestCell(SEED, 3) {
                it.copy(mayFormCell = it.hostId != it.hosts.minBy { host -> host.value })
            }
            cell.startAll()
            cell.runUntil(LIMIT_MS) { cell.leader != null } shouldBe true
        }

        test("hosts that may not form a cell never do") {
            val cell = TestCell(SEED, 3) { it.copy(mayFormCell = false) }
            cell.startAll()
            cell.runFor(LIMIT_MS)
            cell.leader shouldBe null
        }

        test("a silent member is not removed before a replacement has joined") {
            val cell = startedCell { it.copy(raft = it.raft.copy(targetMembers = 3)) }
            val silent = cell.nodes.values.first { it != cell.leader }
            cell.cutOff += silent.hostId
            cell.runFor(10_000)
            cell.voters().size shouldBe 3
        }

        test("a silent member is removed when there are more members than the target") {
            val cell = startedCell { it.copy(raft = it.raft.copy(targetMembers = 2)) }
            val silent = cell.nodes.values.first { it != cell.leader }
            cell.cutOff += silent.hostId
            cell.runUntil(LIMIT_MS) { cell.voters().size == 2 } shouldBe true
            cell.voters() shouldNotContain silent.storage.replicaId
        }

        test("a host replaced at another address counts in the quorum for ever") {
            var listed = listOf("h1", "h2", "h3").map(::HostId)
            val cell = TestCell(SEED, 4) {
                it.copy(hosts = listed, raft = settingsFor(listed).forReplica().raft)
            }
            val (first, second, old, successor) = cell.nodes.values.toList()
            listOf(first, second, old).forEach { it.start() }
            cell.runUntil(LIMIT_MS) { cell.voters().size == 3 } shouldBe true
            cell.proposeAll(10)
            listed = listOf("h1", "h2", "h4").map(::HostId)
            old.crash()
            successor.start()
            for (node in listOf(first, second)) {
                node.stop(LIMIT_MS)
                node.start()
                cell.runUntil(LIMIT_MS) { cell.leader != null } shouldBe true
            }
            val current = listOf(first, second, successor).map { it.storage.replicaId }.toSet()
            cell.runUntil(LIMIT_MS) { cell.voters() == current } shouldBe true
            second.crash()
            cell.runUntil(LIMIT_MS) { cell.leader.let { it != null && it != second } } shouldBe true
            cell.proposeAll(10)
        }

        test("a member removed while it was cut off joins again once it is back") {
            val cell = startedCell { it.copy(raft = it.raft.copy(targetMembers = 2)) }
            val silent = cell.nodes.values.first { it != cell.leader }
            val oldId = silent.storage.replicaId
            cell.cutOff += silent.hostId
            cell.runUntil(LIMIT_MS) { cell.voters().size == 2 } shouldBe true
            cell.proposeAll(10)
            cell.cutOff -= silent.hostId
            cell.runUntil(LIMIT_MS) { oldId in cell.voters() } shouldBe true
            cell.runUntil(LIMIT_MS) { silent.applied.size == 10 } shouldBe true
        }

        test("a second change is refused while one is not committed") {
            val cell = startedCell()
            val leader = cell.leader!!.replica!!
            val results = mutableListOf<ChangeResult>()
            val followers = cell.nodes.values.filter { it != cell.leader }
            followers.forEach { node ->
                val change = MemberChange.Remove(node.storage.replicaId)
                leader.changeMembers(change, cell.nowMs) { results += it }
            }
            results.single().shouldBeInstanceOf<ChangeResult.Refused>()
            cell.runUntil(LIMIT_MS) { results.size == 2 } shouldBe true
            results shouldContain ChangeResult.Committed
        }

        test("leadership moves on request, and the old leader refuses proposals") {
            val cell = startedCell()
            cell.proposeAll(5)
            val old = cell.leader!!
            old.replica!!.transferLeadership(cell.nowMs)
            old.replica!!.propose("late".encodeToByteArray(), cell.nowMs)
                .shouldBeInstanceOf<ProposeResult.NotLeader>()
            cell.runUntil(1_000) { cell.leader != null && cell.leader != old } shouldBe true
        }

        test("a leader whose disk fails stops, reports the error and is replaced") {
            val cell = startedCell()
            cell.proposeAll(5)
            val old = cell.leader!!
            old.storage.failing = true
            old.replica!!.propose("lost".encodeToByteArray(), cell.nowMs)
            cell.runUntil(LIMIT_MS) { cell.leader != null && cell.leader != old } shouldBe true
            (old.storageError != null) shouldBe true
            old.replica!!.status(cell.nowMs).storageError shouldBe old.storageError
            old.replica!!.propose("x".encodeToByteArray(), cell.nowMs)
                .shouldBeInstanceOf<ProposeResult.NotLeader>()
            cell.proposeAll(5)
        }

        test("a leader that is cut off does not confirm reads") {
            val cell = startedCell()
            cell.proposeAll(5)
            val old = cell.leader!!
            cell.cutOff += old.hostId
            var result: ReadResult? = null
            old.replica!!.read(cell.nowMs) { result = it }
            cell.runFor(5_000)
            result.shouldBeInstanceOf<ReadResult.NotLeader>()
        }
    })
