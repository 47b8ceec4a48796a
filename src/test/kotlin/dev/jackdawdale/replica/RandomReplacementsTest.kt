package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val SEEDS = 25L
private const val STEPS = 60
private const val SUCCESSORS = 8
private const val MAX_PAUSE_MS = 1_500L

/**
 * Random replacements, restarts, cuts and lost disks in series, never more at a time than the cell
 * bears. A host counts as lost while it is down or cut off and [CATCH_UP_MS] after it is back; one
 * that was replaced, until its successor has had that time.
 */
private class RandomReplacements(members: Int, seed: Long) {
    private val play = ReplacementPlay(members, seed, SUCCESSORS)
    private val cell = play.cell
    private val random = cell.random
    private val unstarted = ArrayDeque(play.all.drop(members))
    private val inService = play.originals.toMutableList()

    /** Hosts that failed for good, or were cut off, and don't come back yet. */
    private val failed = mutableListOf<TestCell.TestNode>()

    /** Hosts that stop once the successor of each has had its time. */
    private val successorOf = mutableMapOf<HostId, TestCell.TestNode>()

    private fun isLost(node: TestCell.TestNode) = node.hostId in cell.cutOff ||
        play.readyAtMs.getOrDefault(node.hostId, 0) > cell.nowMs

    private fun lostCount() = failed.size + (inService + successorOf.values).count(::isLost)

    private fun idle() = inService.filter { !isLost(it) && it.hostId !in successorOf }

    fun run() {
        play.start()
        repeat(STEPS) {
            step()
            cell.runFor(random.nextLong(1, MAX_PAUSE_MS))
            cell.runUntil(RECOVERY_LIMIT_MS) { cell.leader != null } shouldBe true
            cell.leader!!.replica!!.propose("s$it".encodeToByteArray(), cell.nowMs)
        }
        reconnect()
        while (failed.isNotEmpty()) replaceFailed()
        cell.runFor(CATCH_UP_MS)
        stopReplaced()
        play.awaitRecovery()
        play.loseDisksWhenNothingIsLost()
    }

    private fun step() {
        when (random.nextInt(10)) {
            0 -> startPlannedSuccessor()
            1, 2 -> stopReplaced()
            3 -> ifAnotherMayBeLost { fail(it) }
            4, 5 -> replaceFailed()
            6 -> ifAnotherMayBeLost { play.wipe(it) }
            7 -> ifAnotherMayBeLost { play.restart(it) }
            8 -> ifAnotherMayBeLost { cell.cutOff += it.hostId }
            else -> reconnect()
        }
    }

    private fun ifAnotherMayBeLost(lose: (TestCell.TestNode) -> Unit) {
        if (lostCount() < play.tolerated) idle().randomOrNull(random)?.let(lose)
    }

    private fun startPlannedSuccessor() {
        if (lostCount() >= play.tolerated || !hasSpareSuccessor()) return
        val old = idle().randomOrNull(random) ?: return
        successorOf[old.hostId] = startNext() ?: return
    }

    private fun startNext(): TestCell.TestNode? = unstarted.removeFirstOrNull()?.also {
        it.start()
        play.readyAtMs[it.hostId] = cell.nowMs + CATCH_UP_MS
    }

    private fun stopReplaced() {
        val ready = inService.filter { old -> successorOf[old.hostId]?.let { !isLost(it) } == true }
        for (old in ready) {
            play.stop(old)
            inService -= old
            inService += successorOf.getValue(old.hostId)
            successorOf -= old.hostId
        }
    }

    private fun fail(node: TestCell.TestNode) {
        if (!hasSpareSuccessor()) return
        play.kill(node)
        inService -= node
        failed += node
    }

    /** Whether there is a successor for one more host than those that have failed. */
    private fun hasSpareSuccessor() = unstarted.size > failed.size

    private fun replaceFailed() {
        if (failed.isEmpty()) return
        val next = startNext() ?: return
        failed.removeFirst()
        inService += next
    }

    private fun reconnect() {
        cell.cutOff.forEach { play.readyAtMs[it] = cell.nowMs + CATCH_UP_MS }
        cell.cutOff.clear()
    }
}

class RandomReplacementsTest :
    FunSpec({
        context("losses within the tolerated number leave no leader, or a command is lost") {
            withData(
                nameFn = { (members, seed) -> "$members members, seed $seed" },
                listOf(3, 5).flatMap { members -> (1..SEEDS).map { members to it } }
            ) { (members, seed) ->
                RandomReplacements(members, seed).run()
            }
        }
    })
