package dev.jackdawdale.replica

import dev.jackdawdale.raft.AppendReply
import dev.jackdawdale.raft.RaftSettings
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val SEED = 11L
private const val COMMANDS = 400
private const val COMMAND_BYTES = 10_000

/** What may be on its way to one replica: the window and the message that fills it. */
private const val WINDOW_BYTES = 48L * 1024

/** A cell of three of which one replica lacks [COMMANDS] commands and is about to come back. */
private class LateReplica {
    val cell = TestCell(SEED)
    val late: TestCell.TestNode

    init {
        cell.startAll()
        cell.runUntil(10_000) { cell.leader != null } shouldBe true
        late = cell.nodes.values.first { it != cell.leader }
        cell.cutOff += late.hostId
        repeat(COMMANDS) { number ->
            val command = "$number ".padEnd(COMMAND_BYTES, 'x').encodeToByteArray()
            cell.leader!!.replica!!.propose(command, cell.nowMs)
                .shouldBeInstanceOf<ProposeResult.Appended>()
            cell.tick(10)
        }
        cell.runUntil(5_000) { cell.leader!!.applied.size == COMMANDS } shouldBe true
        cell.sentBytes.clear()
        cell.mostOnTheWay.clear()
    }

    fun comesBack() = cell.cutOff.clear()
}

class CatchUpTest :
    FunSpec({
        test("a replica that comes back is sent all that it lacks at once") {
            val play = LateReplica()
            play.comesBack()
            play.cell.runUntil(5_000) { play.late.applied.size == COMMANDS } shouldBe true
            play.cell.mostOnTheWay.getValue(play.late.hostId) shouldBeLessThanOrEqual WINDOW_BYTES
        }

        test("a replica that answers late is sent the same entries again and again") {
            val play = LateReplica()
            play.cell.isLost = { _, message -> message is AppendReply && message.success }
            play.comesBack()
            val heartbeats = 10
            play.cell.runFor(heartbeats * RaftSettings().heartbeatMs)
            play.cell.sentBytes.getValue(play.late.hostId) shouldBeLessThanOrEqual
                (heartbeats + 1L) * COMMAND_BYTES
        }

        test("a bounded window keeps a replica from catching up") {
            val play = LateReplica()
            play.comesBack()
            play.cell.runUntil(2_000) { play.late.applied.size == COMMANDS } shouldBe true
            play.late.applied shouldBe play.cell.leader!!.applied
        }
    })
