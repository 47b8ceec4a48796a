package dev.jackdawdale.replica

import dev.jackdawdale.raft.ReplicaId
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val STEPS = 400
private const val RECOVERY_MS = 120_000L

private data class Run(val seed: Long, val hosts: Int)

/** Random operations on a cell with message loss, crashes and lost disks. */
private class RandomOperations(run: Run) {
    val cell = TestCell(run.seed, run.hosts) {
        it.copy(snapshotEveryEntries = 20, retainedEntries = 5)
    }
    private val random = cell.random
    private var commands = 0

    fun run() {
        cell.startAll()
        repeat(STEPS) { step ->
            operate()
            cell.tick(random.nextLong(1, 100))
            if (step % 20 == 0) checkStates()
        }
        endFaults()
        checkRecovery()
    }

    private fun operate() {
        when (random.nextInt(20)) {
            in 0..9 -> propose()
            10 -> {
                cell.faults = Faults(random.nextDouble(0.3), random.nextDouble(0.2), 0.3)
                cell.diskLag = random.nextDouble(0.95)
            }

            11 -> cell.faults = Faults()

            12 -> crash()

            13, 14 -> cell.nodes.values.filter { it.replica == null }.forEach { it.start() }
            15 -> loseDisk()
            16 -> cell.cutOff += cell.hostIds.random(random)
            17 -> cell.cutOff.clear()
            18 -> cell.leader?.replica?.transferLeadership(cell.nowMs)
            else -> read()
        }
    }

    private fun propose() = repeat(random.nextInt(1, 15)) {
        val node = cell.nodes.values.random(random)
        node.replica?.propose("c${commands++}".encodeToByteArray(), cell.nowMs)
    }

    /** A crash of all replicas at once loses entries that were reported as synced too early. */
    private fun crash() {
        val all = cell.nodes.values
        val crashed = if (random.nextInt(3) == 0) all else listOf(all.random(random))
        crashed.forEach { it.crash() }
    }

    /** A confirmed read must see every command that any replica had applied when it began. */
    private fun read() {
        val node = cell.nodes.values.random(random)
        val known = cell.committed.size
        node.replica?.read(cell.nowMs) { result ->
            if (result is ReadResult.Ready) {
                check(node.applied.size >= known) { "a read misses committed commands" }
            }
        }
    }

    /** Loses a disk only while every voter holds everything committed, so that no data is lost. */
    private fun loseDisk() {
        val leader = cell.leader?.replica ?: return
        val status = leader.status(cell.nowMs)
        val current = cell.nodes.values.map { it.storage.replicaId }.toSet()
        val voters = status.members.filter { it.voter }
        val repaired = voters.map { it.replicaId }.toSet() == current &&
            voters.all { (it.matchIndex ?: 0) >= status.commitIndex }
        if (repaired && cell.committed.size == cell.nodes.values.maxOf { it.applied.size }) {
            cell.nodes.values.random(random).apply {
                loseDisk()
                start()
            }
        }
    }

    private fun checkStates() {
        cell.checkLogMatching()
        val all = cell.committed.values.toList()
        cell.nodes.values.forEach { node ->
            node.applied shouldBe all.take(node.applied.size)
        }
    }

    private fun endFaults() {
        cell.faults = Faults()
        cell.diskLag = 0.0
        cell.cutOff.clear()
        cell.nodes.values.filter { it.replica == null }.forEach { it.start() }
    }

    private fun checkRecovery() {
        val recovered = cell.runUntil(RECOVERY_MS) {
            cell.leader?.replica?.propose("end".encodeToByteArray(), cell.nowMs)
            val members = cell.leader?.replica?.status(cell.nowMs)?.members.orEmpty()
            val voters: Set<ReplicaId> = members.filter { it.voter }.map { it.replicaId }.toSet()
            voters == cell.nodes.values.map { it.storage.replicaId }.toSet() &&
                cell.nodes.values.all { "end" in it.applied }
        }
        withClue(cell.nodes.values.map { it.replica?.status(cell.nowMs) }) {
            recovered shouldBe true
        }
        checkStates()
    }
}

class RandomOperationsTest :
    FunSpec({
        context("no leader twice in a term, no lost command, equal logs, and recovery") {
            withData(
                nameFn = { "seed ${it.seed}, ${it.hosts} replicas" },
                (1L..40).map { Run(it, if (it % 4 == 0L) 5 else 3) }
            ) { run ->
                RandomOperations(run).run()
            }
        }
    })
