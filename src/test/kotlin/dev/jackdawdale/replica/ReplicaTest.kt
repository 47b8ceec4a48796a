package dev.jackdawdale.replica

import dev.jackdawdale.raft.RaftSettings
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val SEED = 7L
private const val ELECTION_MS = 10_000L

private fun startedCell(hosts: Int = 3, adjust: (ReplicaSettings) -> ReplicaSettings = { it }) =
    TestCell(SEED, hosts, adjust).apply {
        startAll()
        runUntil(ELECTION_MS) { leader != null } shouldBe true
    }

private fun TestCell.propose(command: String) {
    leader!!.replica!!.propose(command.encodeToByteArray(), nowMs)
        .shouldBeInstanceOf<ProposeResult.Appended>()
}

private fun TestCell.allApplied(count: Int) = nodes.values.all { it.applied.size == count }

class ReplicaTest :
    FunSpec({
        for (hosts in listOf(1, 2, 3, 5)) {
            test("$hosts blank hosts form a cell that applies commands in the same order") {
                val cell = startedCell(hosts)
                repeat(50) { cell.propose("c$it") }
                cell.runUntil(5_000) { cell.allApplied(50) } shouldBe true
                cell.nodes.values.forEach { node ->
                    node.applied shouldBe List(50) { "c$it" }
                }
            }
        }

        test("a restart of all replicas keeps every committed command") {
            val cell = startedCell()
            repeat(20) { cell.propose("c$it") }
            cell.runUntil(5_000) { cell.allApplied(20) } shouldBe true
            cell.nodes.values.forEach { it.crash() }
            cell.startAll()
            cell.runUntil(ELECTION_MS) { cell.allApplied(20) } shouldBe true
        }

        test("a killed leader is replaced within 5 s and its committed commands stay") {
            val cell = startedCell()
            cell.propose("before")
            cell.runUntil(5_000) { cell.allApplied(1) } shouldBe true
            val old = cell.leader!!
            old.crash()
            cell.runUntil(5_000) { cell.leader != null && cell.leader != old } shouldBe true
            cell.propose("after")
            old.start()
            cell.runUntil(5_000) { cell.allApplied(2) } shouldBe true
        }

        test("a leader whose connections ended is replaced long before the election timeout") {
            val cell = startedCell {
                it.copy(
                    raft = RaftSettings(
                        electionTimeoutMs = 60_000,
                        disconnectedLeaderTimeoutMs = 100
                    )
                )
            }
            val old = cell.leader!!
            old.crash()
            cell.nodes.values.forEach { it.replica?.connectionEnded(old.hostId, cell.nowMs) }
            cell.runUntil(50_000) { cell.leader != null && cell.leader != old } shouldBe true
        }

        test("a leader that only lost its connections keeps leading") {
            val cell = startedCell()
            val old = cell.leader!!
            val term = old.leadsTerm
            repeat(20) {
                cell.nodes.values.forEach { it.replica?.connectionEnded(old.hostId, cell.nowMs) }
                cell.runFor(300)
            }
            cell.leader shouldBe old
            old.leadsTerm shouldBe term
        }

        test("a leader that is cut off stops leading and does not disturb the others") {
            val cell = startedCell()
            val old = cell.leader!!
            cell.cutOff += old.hostId
            cell.runUntil(5_000) { old.leadsTerm == null && cell.leader != null } shouldBe true
            cell.runFor(20_000)
            val current = cell.leader!!
            val term = current.leadsTerm
            cell.cutOff.clear()
            cell.runFor(5_000)
            cell.leader shouldBe current
            current.leadsTerm shouldBe term
        }

        test("a command larger than a message is applied whole") {
            val cell = startedCell()
            val large = "x".repeat(3_000_000)
            cell.propose(large)
            cell.runUntil(5_000) { cell.allApplied(1) } shouldBe true
            cell.nodes.values.forEach { it.applied.single().length shouldBe large.length }
        }
    })
