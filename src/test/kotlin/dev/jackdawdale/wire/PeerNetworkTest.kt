package dev.jackdawdale.wire

import dev.jackdawdale.bench.loopbackPeer
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.testing.conditionTimeout
import dev.jackdawdale.testing.freePorts
import dev.jackdawdale.timeline.HybridTime
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.builtins.serializer

private val sessionTypes = LinkTypes(
    ControlMessage.serializer(),
    EntryMessage.serializer(),
    EntryMessage::weightBytes
)

private const val SLOW_PIECES = 12
private const val SLOW_PIECE_BYTES = 32 * 1024

private fun openOf(incarnation: Long) = EntryMessage.SessionOpen(
    HostId("h1"),
    incarnation,
    FailureDomain("local"),
    0,
    emptyList(),
    false
)

private class Recorder(settings: PeerSettings = loopbackPeer("c1")) : AutoCloseable {
    val events = CopyOnWriteArrayList<String>()
    val sessions = CopyOnWriteArrayList<ControlSession>()
    val network = peerNetwork(
        settings,
        String.serializer(),
        PeerCallbacks(
            { _, message -> events += message },
            { session, message ->
                if (message is EntryMessage.SessionOpen) sessions += session
                events += "${session.incarnation} ${message::class.simpleName}"
            },
            { events += "${it.incarnation} closed" }
        ),
        weightBytes = { it.length.toLong() }
    ).apply { start() }

    suspend fun dialAsEntry(selector: SelectorManager, incarnation: Long, silenceMs: Long = 3_000) =
        dial(
            selector,
            loopbackPeer("h1", incarnation = incarnation).copy(silenceTimeoutMs = silenceMs),
            Role.ENTRY,
            HostId("c1"),
            PeerAddress("127.0.0.1", network.port),
            sessionTypes
        )

    override fun close() = network.close()
}

/** Waits for the selector of a closed network, which releases its port when it runs next. */
private suspend fun awaitReleased(port: Int) = eventually(conditionTimeout) {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
}

/** Each test is named after the failure that it guards against. */
class PeerNetworkTest :
    FunSpec({
        val selector = SelectorManager(Dispatchers.IO)
        afterSpec { selector.close() }

        test("messages are lost or reordered, or a restarted peer is not reconnected") {
            val port = freePorts(1).single()
            val settings = loopbackPeer("c1").copy(port = port)
            val first = Recorder(settings)
            val sender = Recorder(loopbackPeer("c2", port))
            sender.use {
                eventually(conditionTimeout) {
                    sender.network.isConnected(HostId("c1")) shouldBe
                        true
                }
                val large = "x".repeat(settings.maxFrameBytes - FRAME_TIME_BYTES - 16)
                val texts = List(1_000) { "m$it" } + large
                texts.forEach { sender.network.send(HostId("c1"), it) shouldBe true }
                eventually(conditionTimeout) { first.events.toList() shouldBe texts }
                first.close()
                eventually(conditionTimeout) {
                    sender.network.isConnected(HostId("c1")) shouldBe
                        false
                }
                sender.network.send(HostId("c1"), "lost") shouldBe false
                awaitReleased(port)
                Recorder(settings).use { second ->
                    eventually(conditionTimeout) {
                        sender.network.send(HostId("c1"), "again") shouldBe true
                        second.events.contains("again") shouldBe true
                    }
                }
            }
        }

        test("a large message that arrives slowly is taken for silence") {
            val settings = loopbackPeer("c1").copy(silenceTimeoutMs = 1_000)
            Recorder(settings).use { listener ->
                val sender = loopbackPeer("c2")
                val address = PeerAddress("127.0.0.1", listener.network.port)
                val raw = selector.connect(address, sender)
                raw.handshakeAsClient(sender, Role.CONTROL, HostId("c1"))
                val text = "x".repeat(SLOW_PIECES * SLOW_PIECE_BYTES)
                val message = cellCbor.encodeToByteArray(String.serializer(), text)
                val frame = timedFrame(HybridTime(0), message)
                raw.output.writeInt(frame.size)
                for (from in frame.indices step SLOW_PIECE_BYTES) {
                    raw.output.writeFully(frame, from, minOf(frame.size, from + SLOW_PIECE_BYTES))
                    raw.output.flush()
                    delay(150)
                }
                eventually(conditionTimeout) { listener.events.toList() shouldBe listOf(text) }
                raw.close()
            }
        }

        test("an oversized message blocks or closes the connection") {
            Recorder().use { listener ->
                Recorder(loopbackPeer("c2", listener.network.port)).use { sender ->
                    eventually(conditionTimeout) {
                        sender.network.isConnected(HostId("c1")) shouldBe true
                    }
                    sender.network.send(HostId("c1"), "x".repeat(5 * 1024 * 1024))
                    sender.network.send(HostId("c1"), "next")
                    eventually(conditionTimeout) {
                        listener.events.toList() shouldBe listOf("next")
                    }
                }
            }
        }

        test("an older session of a host overlaps a newer one") {
            Recorder().use { listener ->
                val older = listener.dialAsEntry(selector, incarnation = 1)
                launch { older.run { } }
                older.send(openOf(1))
                eventually(conditionTimeout) { listener.sessions.size shouldBe 1 }
                val newer = listener.dialAsEntry(selector, incarnation = 2)
                val run = launch { newer.run { } }
                newer.send(openOf(2))
                eventually(conditionTimeout) { listener.sessions.size shouldBe 2 }
                listener.events.toList() shouldBe
                    listOf("1 SessionOpen", "1 closed", "2 SessionOpen")
                val late = listener.dialAsEntry(selector, incarnation = 1)
                late.send(openOf(1))
                late.run { }
                listener.sessions.size shouldBe 2
                newer.close("test ends")
                run.join()
                eventually(conditionTimeout) { listener.events.last() shouldBe "2 closed" }
            }
        }

        context("a session stays open after its peer went silent or stopped reading") {
            withData(
                mapOf(
                    "silence" to { _: ControlSession -> },
                    "queue overflow because the peer does not read" to { session: ControlSession ->
                        val big = ControlMessage.NotLeader(HostId("h".repeat(10_000)))
                        while (session.send(big)) Thread.onSpinWait()
                    }
                )
            ) { act ->
                val settings = loopbackPeer("c1").copy(heartbeatMs = 50, silenceTimeoutMs = 400)
                Recorder(settings).use { listener ->
                    val reading = CountDownLatch(1)
                    val link = listener.dialAsEntry(selector, incarnation = 1, silenceMs = 600_000)
                    val run = async(Dispatchers.IO) { link.run { reading.await() } }
                    link.send(openOf(1))
                    eventually(conditionTimeout) { listener.sessions.size shouldBe 1 }
                    act(listener.sessions.single())
                    eventually(conditionTimeout) { listener.events.last() shouldBe "1 closed" }
                    listener.sessions.single().send(ControlMessage.NotLeader(null)) shouldBe false
                    reading.countDown()
                    // Completes only if the socket was closed, even with unsent bytes.
                    withTimeout(conditionTimeout) { run.await() } shouldNotBe ""
                }
            }
        }

        test("a close drops queued messages, or messages are accepted after it") {
            Recorder().use { listener ->
                repeat(50) { round ->
                    val link = listener.dialAsEntry(selector, incarnation = round.toLong())
                    val received = CopyOnWriteArrayList<ControlMessage>()
                    val run = async(Dispatchers.IO) { link.run { received += it } }
                    link.send(openOf(1))
                    eventually(conditionTimeout) { listener.sessions.size shouldBe round + 1 }
                    val session = listener.sessions.last()
                    repeat(10) { session.send(ControlMessage.NotLeader(HostId("c$it"))) }
                    session.close()
                    session.send(ControlMessage.NotLeader(null)) shouldBe false
                    link.send(EntryMessage.SessionHeartbeat(false))
                    withTimeout(conditionTimeout) { run.await() }
                    received.size shouldBe 10
                    eventually(conditionTimeout) { listener.events.last() shouldBe "$round closed" }
                }
                listener.events.none { "Heartbeat" in it } shouldBe true
            }
        }

        test("a control host that stops responding during the handshake blocks the caller") {
            ServerSocket(0).use { silent ->
                val settings = loopbackPeer("h1", silent.localPort).copy(handshakeTimeoutMs = 200)
                val callbacks = ControlClientCallbacks({ emptyList() }, { }, { }, { })
                controlClient(settings, callbacks).use { client ->
                    client.start()
                    repeat(2) {
                        silent.accept().let { DataOutputStream(it.getOutputStream()).writeInt(9) }
                    }
                    client.isOpen shouldBe false
                }
            }
        }
    })
