package dev.jackdawdale.wire

import dev.jackdawdale.bench.LoopbackLeader
import dev.jackdawdale.bench.loopbackPeer
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.testing.conditionTimeout
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

private val cancel = Command.Cancel(CustomerId("acme"), WorkId("acme/r1"))

private fun client(vararg leaders: LoopbackLeader): ControlClient {
    val hosts = leaders.withIndex().associate { (index, leader) ->
        HostId("c${index + 1}") to PeerAddress("127.0.0.1", leader.port)
    }
    val settings = loopbackPeer("h1").copy(controlHosts = hosts)
    return controlClient(settings, ControlClientCallbacks({ emptyList() }, { }, { }, { }))
        .apply { start() }
}

private fun leader(name: String = "c1", term: Long = 1): LoopbackLeader =
    LoopbackLeader(loopbackPeer(name), term).apply { start() }

/** Each test is named after the failure that it guards against. */
class ControlClientTest :
    FunSpec({
        test("a session is opened with a host other than the leader that a follower names") {
            val follower = leader("c1")
            follower.onFindLeader = { ControlMessage.NotLeader(HostId("c3")) }
            val wrong = leader("c2")
            wrong.onFindLeader = { ControlMessage.NotLeader(null) }
            val leading = leader("c3")
            client(follower, wrong, leading).use { client ->
                eventually(conditionTimeout) { client.isOpen shouldBe true }
                follower.sessionOpens.size shouldBe 0
                wrong.sessionOpens.size shouldBe 0
                client.call(cancel) shouldBe Reply.Done
            }
            listOf(follower, wrong, leading).forEach { it.close() }
        }

        test("a host that accepts connections but stays silent delays the session") {
            ServerSocket(0).use { silent ->
                val leading = leader("c2")
                val hosts = mapOf(
                    HostId("c1") to PeerAddress("127.0.0.1", silent.localPort),
                    HostId("c2") to PeerAddress("127.0.0.1", leading.port)
                )
                val settings =
                    loopbackPeer("h1").copy(controlHosts = hosts, handshakeTimeoutMs = 3_600_000)
                val callbacks = ControlClientCallbacks({ emptyList() }, { }, { }, { })
                controlClient(settings, callbacks).use { client ->
                    client.start()
                    eventually(conditionTimeout) { client.isOpen shouldBe true }
                }
                leading.close()
            }
        }

        test("a message that arrives before the session is accepted is lost") {
            val leader = leader()
            val early = ControlMessage.AttemptAcknowledged(WorkId("acme/r1"), FencingToken(1))
            leader.onOpen = { early }
            val received = CopyOnWriteArrayList<ControlMessage>()
            val settings = loopbackPeer("h1", leader.port)
            val callbacks = ControlClientCallbacks({ emptyList() }, { }, { }, { received += it })
            controlClient(settings, callbacks).use { client ->
                client.start()
                eventually(conditionTimeout) { received.firstOrNull() shouldBe early }
            }
            leader.close()
        }

        test("a host that becomes leader later gets no session") {
            val first = leader("c1")
            val second = leader("c2")
            listOf(first, second).forEach { it.onFindLeader = { ControlMessage.NotLeader(null) } }
            client(first, second).use { client ->
                eventually(conditionTimeout) { (second.findLeaderCalls.get() > 0) shouldBe true }
                second.onFindLeader = { ControlMessage.Leads(2) }
                eventually(conditionTimeout) { client.isOpen shouldBe true }
                first.sessionOpens.size shouldBe 0
                second.sessionOpens.size shouldBe 1
            }
            listOf(first, second).forEach { it.close() }
        }

        test("a leader of an outdated term gets a session") {
            val newer = leader("c1", term = 5)
            val older = leader("c2", term = 4)
            older.onFindLeader = { ControlMessage.NotLeader(null) }
            client(newer, older).use { client ->
                eventually(conditionTimeout) { client.isOpen shouldBe true }
                older.onFindLeader = { ControlMessage.Leads(older.term) }
                newer.close()
                eventually(conditionTimeout) { (older.sessionOpens.size > 1) shouldBe true }
                client.isOpen shouldBe false
                older.sessionOpens.first().highestTerm shouldBe 5
                older.term = 6
                eventually(conditionTimeout) { client.highestTerm shouldBe 6 }
            }
            older.close()
        }

        test("a call is not resent on a new session, or is resent although resend is off") {
            val first = leader("c1", term = 1)
            first.onCommand = { _, _ -> null }
            val second = leader("c2", term = 2)
            second.onOpen = { ControlMessage.NotLeader(null) }
            client(first, second).use { client ->
                eventually(conditionTimeout) { client.isOpen shouldBe true }
                coroutineScope {
                    val reply = async { client.call(cancel) }
                    val once = async { client.call(cancel, resend = false) }
                    eventually(conditionTimeout) { first.commands.size shouldBe 2 }
                    second.onOpen = { ControlMessage.SessionAccepted(2) }
                    first.close()
                    once.await() shouldBe Reply.LeadershipLost
                    reply.await() shouldBe Reply.Done
                }
                second.commands.toList() shouldBe listOf(cancel)
            }
            second.close()
        }

        test("a call whose leader lost leadership is not retried") {
            val leader = leader()
            val asked = AtomicInteger()
            leader.onCommand =
                { _, _ -> if (asked.getAndIncrement() == 0) Reply.LeadershipLost else Reply.Done }
            client(leader).use { client ->
                client.call(cancel) shouldBe Reply.Done
                asked.get() shouldBe 2
                leader.onCommand = { _, _ -> Reply.LeadershipLost }
                client.call(cancel, resend = false) shouldBe Reply.LeadershipLost
                leader.onCommand = { _, _ -> null }
                client.call(cancel, timeoutMs = 50) shouldBe Reply.LeadershipLost
            }
            leader.close()
        }

        test("a query whose reply is larger than a frame waits until its timeout") {
            val leader = leader()
            val long = "x".repeat(5 * 1024 * 1024)
            leader.onQuery = { Reply.Queue(listOf(QueueEntry(WorkId("acme/r"), 0, 1, long)), 1, 0) }
            client(leader).use { client ->
                client.query(Query.Queue(), timeoutMs = 60_000)
                    .shouldBeInstanceOf<Reply.Refused>()
            }
            leader.close()
        }

        test("a session with a silent leader stays open") {
            val silent = loopbackPeer("c1").copy(heartbeatMs = 3_600_000)
            val leader = LoopbackLeader(silent).apply { start() }
            leader.sendsConfiguration = false
            val settings = loopbackPeer("h1", leader.port).copy(sessionTimeoutMs = 100)
            val callbacks = ControlClientCallbacks({ emptyList() }, { }, { }, { })
            controlClient(settings.copy(heartbeatMs = 20), callbacks).use { client ->
                client.start()
                eventually(conditionTimeout) { (leader.sessionOpens.size >= 3) shouldBe true }
            }
            leader.close()
        }

        test("a call that was never sent is reported as possibly run, or is sent later") {
            val leader = leader()
            leader.onOpen = { ControlMessage.NotLeader(null) }
            client(leader).use { client ->
                val reply = client.call(cancel, timeoutMs = 100)
                reply.shouldBeInstanceOf<Reply.Refused>()
                    .refusal.shouldBeInstanceOf<Refusal.Unavailable>()
                leader.onOpen = { ControlMessage.SessionAccepted(1) }
                eventually(conditionTimeout) { client.isOpen shouldBe true }
                client.query(Query.CellStatus, timeoutMs = 50) shouldBe Reply.LeadershipLost
                leader.commands.size shouldBe 0
            }
            leader.close()
        }
    })
