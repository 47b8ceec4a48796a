package dev.jackdawdale.raft

import dev.jackdawdale.model.HostId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val NOW_MS = 10_000L

private fun voters(count: Int) = Membership(
    (1..count).map { Member(ReplicaId("r$it"), HostId("h$it"), voter = true) }
)

private fun dueMs(self: ReplicaId, membership: Membership, term: Long, seed: Long): Long {
    val log = raftLog(SnapshotMeta(0, 0, membership), emptyList())
    return raftState(RaftSettings(), self, term, null, log, seed, NOW_MS).electionDueMs - NOW_MS
}

private data class TimeoutCase(val voters: Int, val term: Long)

private fun follower(): RaftState {
    val log = raftLog(SnapshotMeta(0, 0, voters(3)), emptyList())
    return raftState(RaftSettings(), ReplicaId("r1"), 1, null, log, seed = 5, NOW_MS)
}

private fun RaftState.receiveHeartbeat(term: Long, nowMs: Long): RaftState {
    val message = Append(ReplicaId("r2"), self, term, 0, 0, emptyList(), 0, 0)
    return step(this, RaftInput.Receive(HostId("h2"), message), nowMs).state
}

class ElectionTimeoutTest :
    FunSpec({
        test("leaders too busy to send heartbeats in time do not replace each other forever") {
            val settings = RaftSettings()
            var state = follower()
            (2L..4L).forEach { state = state.receiveHeartbeat(it, NOW_MS + it * 100) }
            val busyMs = NOW_MS + 400
            state.electionDueMs - busyMs shouldBeGreaterThanOrEqual 3 * settings.electionTimeoutMs
            val afterWindowMs = busyMs + settings.termWindowMs
            state = state.receiveHeartbeat(4, afterWindowMs)
            state.electionDueMs - afterWindowMs shouldBeLessThan 2 * settings.electionTimeoutMs
        }

        context("voters that lose the same leader do not ask for votes at the same time") {
            withData(
                TimeoutCase(3, 1),
                TimeoutCase(3, 2),
                TimeoutCase(5, 1),
                TimeoutCase(5, 7),
                TimeoutCase(7, 3)
            ) { case ->
                val settings = RaftSettings()
                val membership = voters(case.voters)
                val slotMs = settings.electionTimeoutMs / case.voters
                val slots = membership.voters.mapIndexed { seed, voter ->
                    val dueMs = dueMs(voter.replicaId, membership, case.term, seed.toLong())
                    dueMs shouldBeGreaterThanOrEqual settings.electionTimeoutMs
                    (dueMs - settings.electionTimeoutMs) / slotMs
                }
                slots.sorted() shouldBe (0L until case.voters).toList()
            }
        }

        test("the same voter is not the first to time out in every term") {
            val membership = voters(5)
            val firsts = (1L..5).map { term ->
                membership.voters.minBy { dueMs(it.replicaId, membership, term, 1) }.replicaId
            }
            firsts.toSet().size shouldBe 5
        }

        test("a replica outside of the membership gets the slot of the first voter") {
            val dueMs = dueMs(ReplicaId("r9"), voters(3), 1, 4)
            (dueMs in 1_000L..1_333L) shouldBe true
        }
    })
