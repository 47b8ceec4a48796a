package dev.jackdawdale.replica

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe

private const val HOSTS = 5
private const val LOSSES = 2
private const val ROUNDS = 4
private const val LIMIT_MS = 30_000L

/** True once the leader counts every host, under its present identity, among its voters. */
private fun TestCell.isWhole(): Boolean {
    val leading = leader?.replica ?: return false
    val voters = leading.status(nowMs).members.filter { it.voter }.map { it.replicaId }.toSet()
    return voters == nodes.values.map { it.storage.replicaId }.toSet()
}

private fun TestCell.proposeForAWhile(round: Int) = repeat(random.nextInt(5, 30)) {
    leader?.replica?.propose("r$round c$it".encodeToByteArray(), nowMs)
    tick(random.nextLong(1, 20))
}

/** All hosts lose power at once, [lost] of them their disks as well. */
private fun TestCell.loseDisksAndPower(lost: Int) {
    val hit = nodes.values.shuffled(random).take(lost)
    nodes.values.forEach { if (it in hit) it.loseDisk() else it.crash() }
    nodes.values.forEach { it.start() }
}

class LostDisksTest :
    FunSpec({
        context("what was committed outlives two lost disks when all others lose power") {
            withData(nameFn = { "seed $it" }, (1L..20L).toList()) { seed ->
                val cell = TestCell(seed, HOSTS) {
                    it.copy(
                        snapshotEveryEntries = 20,
                        retainedEntries = 5,
                        raft = it.raft.copy(targetMembers = HOSTS)
                    )
                }
                cell.startAll()
                cell.diskLag = 0.3
                repeat(ROUNDS) { round ->
                    cell.runUntil(LIMIT_MS, cell::isWhole) shouldBe true
                    cell.proposeForAWhile(round)
                    cell.loseDisksAndPower(LOSSES)
                    cell.runUntil(LIMIT_MS, cell::isWhole) shouldBe true
                    cell.leader!!.applied shouldContainAll cell.committed.values
                }
            }
        }

        test("two lost members that come back do not let a commit rest on two disks") {
            val cell = TestCell(seed = 5, HOSTS) {
                it.copy(raft = it.raft.copy(targetMembers = HOSTS))
            }
            cell.startAll()
            cell.runUntil(LIMIT_MS, cell::isWhole) shouldBe true
            val hit = cell.nodes.values.filter { it != cell.leader }.take(LOSSES)
            hit.forEach { it.loseDisk() }
            hit.forEach { it.start() }
            var fewest = HOSTS
            cell.runUntil(LIMIT_MS) {
                val members = cell.leader?.replica?.status(cell.nowMs)?.members.orEmpty()
                if (members.isNotEmpty()) fewest = minOf(fewest, members.count { it.voter })
                cell.isWhole()
            } shouldBe true
            val quorum = fewest / 2 + 1
            quorum shouldBe LOSSES + 1
        }

        test("what is committed while two lost members come back outlives a loss of power") {
            val cell = TestCell(seed = 3, HOSTS) {
                it.copy(raft = it.raft.copy(targetMembers = HOSTS))
            }
            cell.startAll()
            repeat(ROUNDS) { round ->
                cell.runUntil(LIMIT_MS, cell::isWhole) shouldBe true
                val hit = cell.nodes.values.filter { it != cell.leader }.take(LOSSES)
                hit.forEach { it.loseDisk() }
                hit.forEach { it.start() }
                repeat(cell.random.nextInt(1, 8)) { cell.proposeForAWhile(round) }
                cell.loseDisksAndPower(0)
                cell.runUntil(LIMIT_MS, cell::isWhole) shouldBe true
                cell.leader!!.applied shouldContainAll cell.committed.values
            }
        }
    })
