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

private fun RaftState.hear(term: Long, nowMs: Long): RaftState {
    val message = Append(ReplicaId("r2"), self, term, 0, 0, emptyList(), 0, 0)
    return step(this, RaftInput.Receive(HostId("h2"), message), nowMs).state
}

class ElectionTimeoutTest :
    FunSpec({
        test("leaders that are too busy to be heard in time do not follow each other for ever") {
            val settings = RaftSettings()
            var state = follower()
            (2L..4L).forEach { state = state.hear(it, NOW_MS + it * 100) }
            val busyMs = NOW_MS + 400
            state.electionDueMs - busyMs shouldBeGreaterThanOrEqual 3 * settings.electionTimeoutMs
            val calmMs = busyMs + settings.calmAfterMs
            state = state.hear(4, calmMs)
            state.electionDueMs - calmMs shouldBeLessThan 2 * settings.electionTimeoutMs
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
                val turnMs = settings.electionTimeoutMs / case.voters
                val turns = membership.voters.mapIndexed { seed, voter ->
                    val dueMs = dueMs(voter.replicaId, membership, case.term, seed.toLong())
                    dueMs shouldBeGreaterThanOrEqual settings.electionTimeoutMs
                    (dueMs - settings.electionTimeoutMs) / turnMs
                }
                turns.sorted() shouldBe (0L until case.voters).toList()
            }
        }

        test("another voter is first in the next term") {
            val membership = voters(5)
            val firsts = (1L..5).map { term ->
                membership.voters.minBy { dueMs(it.replicaId, membership, term, 1) }.replicaId
            }
            firsts.toSet().size shouldBe 5
        }

        test("a replica outside of the membership waits like the first voter") {
            val dueMs = dueMs(ReplicaId("r9"), voters(3), 1, 4)
            (dueMs in 1_000L..1_333L) shouldBe true
        }
    })
