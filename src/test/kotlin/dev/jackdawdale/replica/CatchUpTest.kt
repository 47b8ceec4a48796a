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

/** Limit of bytes in flight to one replica: the window and the message that fills it. */
private const val WINDOW_BYTES = 48L * 1024

/** A cell of three replicas, one of which is cut off and lacks [COMMANDS] commands. */
private class ReturningReplica {
    val cell = TestCell(SEED)
    val lagging: TestCell.TestNode

    init {
        cell.startAll()
        cell.runUntil(10_000) { cell.leader != null } shouldBe true
        lagging = cell.nodes.values.first { it != cell.leader }
        cell.cutOff += lagging.hostId
        repeat(COMMANDS) { number ->
            val command = "$number ".padEnd(COMMAND_BYTES, 'x').encodeToByteArray()
            cell.leader!!.replica!!.propose(command, cell.nowMs)
                .shouldBeInstanceOf<ProposeResult.Appended>()
            cell.tick(10)
        }
        cell.runUntil(5_000) { cell.leader!!.applied.size == COMMANDS } shouldBe true
        cell.sentBytes.clear()
        cell.peakInFlightBytes.clear()
    }

    fun reconnect() = cell.cutOff.clear()
}

class CatchUpTest :
    FunSpec({
        test("a returning replica is not sent everything it lacks at once") {
            val setup = ReturningReplica()
            setup.reconnect()
            setup.cell.runUntil(5_000) { setup.lagging.applied.size == COMMANDS } shouldBe true
            setup.cell.peakInFlightBytes.getValue(setup.lagging.hostId) shouldBeLessThanOrEqual
                WINDOW_BYTES
        }

        test("a replica whose replies are lost is not sent the same entries again and again") {
            val setup = ReturningReplica()
            setup.cell.isLost = { _, message -> message is AppendReply && message.success }
            setup.reconnect()
            val heartbeats = 10
            setup.cell.runFor(heartbeats * RaftSettings().heartbeatMs)
            setup.cell.sentBytes.getValue(setup.lagging.hostId) shouldBeLessThanOrEqual
                (heartbeats + 1L) * COMMAND_BYTES
        }

        test("a bounded window does not keep a replica from catching up") {
            val setup = ReturningReplica()
            setup.reconnect()
            setup.cell.runUntil(2_000) { setup.lagging.applied.size == COMMANDS } shouldBe true
            setup.lagging.applied shouldBe setup.cell.leader!!.applied
        }
    })
