package dev.jackdawdale.replica

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val SEEDS = 5L

private class ReplacementRow(val name: String, val play: ReplacementPlay.() -> Unit)

private val rows = listOf(
    ReplacementRow("the old host stops once its successor votes") {
        val old = follower
        awaitVote(startSuccessor())
        cell.runFor(CATCH_UP_MS)
        stop(old)
    },
    ReplacementRow("the old host leads and stops once its successor votes") {
        val old = cell.leader!!
        awaitVote(startSuccessor())
        cell.runFor(CATCH_UP_MS)
        stop(old)
    },
    ReplacementRow("the old host stops while its successor is a learner") {
        val old = follower
        val successor = startSuccessor()
        cell.runUntil(RECOVERY_LIMIT_MS) {
            val known = cell.leader?.replica?.status(cell.nowMs)?.members.orEmpty()
            known.any { it.replicaId == successor.storage.replicaId }
        } shouldBe true
        stop(old)
    },
    ReplacementRow("the old host stops before its successor starts") {
        stop(follower)
        startSuccessor()
    },
    ReplacementRow("the old host leads and fails before its successor starts") {
        kill(cell.leader!!)
        cell.runFor(1_000)
        startSuccessor()
    },
    ReplacementRow("disks are lost while the old host stops") {
        val old = follower
        awaitVote(startSuccessor())
        cell.runFor(CATCH_UP_MS)
        old.beginStop()
        val others = cell.nodes.values.filter { it != old && it.isUp }
        others.shuffled(cell.random).take(tolerated).forEach(::wipe)
        cell.runUntil(GRACE_MS) { old.departure != null }
        kill(old)
    },
    ReplacementRow("the leader changes while the old host stops") {
        val old = follower
        awaitVote(startSuccessor())
        cell.runFor(CATCH_UP_MS)
        cell.leader!!.replica!!.transferLeadership(cell.nowMs)
        stop(old)
    },
    ReplacementRow("the leader changes soon after the old host failed") {
        kill(follower)
        cell.runFor(1_000)
        startSuccessor()
        cell.runFor(1_500)
        changeLeader()
    },
    ReplacementRow("the leader changes shortly before the successor may be needed") {
        kill(follower)
        cell.runFor(1_000)
        startSuccessor()
        cell.runFor(2_500)
        changeLeader()
    },
    ReplacementRow("the leader changes twice after the old host failed") {
        kill(follower)
        startSuccessor()
        cell.runFor(1_500)
        changeLeader()
        cell.runFor(1_000)
        changeLeader()
    },
    ReplacementRow("two hosts are replaced at once") {
        val old = originals.filter { it != cell.leader }.take(2)
        val successors = List(2) { startSuccessor(it) }
        successors.forEach(::awaitVote)
        cell.runFor(CATCH_UP_MS)
        old.forEach { it.beginStop() }
        old.forEach { stop(it) }
    },
    ReplacementRow("two hosts are replaced one after the other") {
        val (first, second) = originals.filter { it != cell.leader }
        awaitVote(startSuccessor())
        stop(first)
        awaitVote(startSuccessor(1))
        stop(second)
    },
    ReplacementRow("a host is replaced right after another came back without its disk") {
        val (old, wiped) = originals.filter { it != cell.leader }
        val successor = startSuccessor()
        wipe(wiped)
        awaitVote(successor)
        stop(old)
    },
    ReplacementRow("the successor is lost and a second one starts before the old host stops") {
        val old = follower
        val lost = startSuccessor()
        awaitVote(lost)
        kill(lost)
        awaitVote(startSuccessor(1))
        cell.runFor(CATCH_UP_MS)
        stop(old)
    },
    ReplacementRow("another host restarts before the old one stops") {
        val (old, other) = originals.filter { it != cell.leader }
        awaitVote(startSuccessor())
        restart(other)
        cell.runFor(CATCH_UP_MS)
        stop(old)
    },
    ReplacementRow("another host restarts right after the old one stopped") {
        val (old, other) = originals.filter { it != cell.leader }
        awaitVote(startSuccessor())
        stop(old)
        restart(other)
    },
    ReplacementRow("all hosts restart in turn before the old one stops") {
        val old = follower
        awaitVote(startSuccessor())
        originals.forEach(::restart)
        cell.runFor(CATCH_UP_MS)
        stop(old)
    },
    ReplacementRow("the old host is cut off, its successor votes, and it wakes after its removal") {
        val old = follower
        cell.cutOff += old.hostId
        awaitVote(startSuccessor())
        cell.runFor(CATCH_UP_MS)
        cell.cutOff -= old.hostId
        cell.runFor(200)
        stop(old)
    },
    ReplacementRow("the old host is cut off until it is killed at the end of its grace period") {
        val old = follower
        awaitVote(startSuccessor())
        cell.runFor(CATCH_UP_MS)
        cell.cutOff += old.hostId
        stop(old)
    }
)

class ReplacedMemberTest :
    FunSpec({
        // A host that is gone must not count in the quorum any longer than the contract says: the
        // tolerated number of lost disks would leave no quorum, and never a leader again.
        context("the tolerated losses leave no leader after a replacement") {
            rows.forEach { row ->
                context(row.name) {
                    withData(
                        nameFn = { (members, seed) -> "$members members, seed $seed" },
                        listOf(3, 5).flatMap { members -> (1..SEEDS).map { members to it } }
                    ) { (members, seed) ->
                        ReplacementPlay(members, seed).apply {
                            start()
                            row.play(this)
                            loseDisksWhenNothingIsLost()
                        }
                    }
                }
            }
        }

        test("a restart without a successor changes the membership") {
            ReplacementPlay(members = 5, seed = 1).apply {
                start()
                val restarted = follower
                val id = restarted.storage.replicaId
                restarted.stop(GRACE_MS)
                cell.runFor(CATCH_UP_MS)
                val members = cell.leader!!.replica!!.status(cell.nowMs).members
                members.count { it.voter } shouldBe 5
                members.any { it.replicaId == id } shouldBe true
            }
        }
    })
