package dev.jackdawdale.wire

import dev.jackdawdale.bench.loopbackPeer
import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.testing.conditionTimeout
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

private const val SEED = 77L

/** A control host that records what its callbacks get. */
private class Listener(settings: PeerSettings = loopbackPeer("c1")) : AutoCloseable {
    val received = CopyOnWriteArrayList<Any>()
    val network = peerNetwork(
        settings,
        String.serializer(),
        PeerCallbacks(
            { from, message -> received += "$from: $message" },
            { _, message -> received += message },
            { }
        )
    ).apply { start() }

    override fun close() = network.close()
}

private fun Socket.exchange(frame: ByteArray): HandshakeMessage {
    DataOutputStream(getOutputStream()).run {
        writeInt(frame.size)
        write(frame)
        flush()
    }
    return receive()
}

private fun Socket.receive(): HandshakeMessage {
    val input = DataInputStream(getInputStream())
    return cellCbor.decodeFromByteArray(input.readNBytes(input.readInt()))
}

private fun greeting(hello: Hello): ByteArray =
    cellCbor.encodeToByteArray<HandshakeMessage>(HandshakeMessage.Greeting(hello))

private val helloOfEntry = hello(loopbackPeer("h1"), Role.ENTRY)

/** Each test is named after the failure that it guards against. */
class HandshakeTest :
    FunSpec({
        context("a client with different settings is accepted or refused for another reason") {
            val settings = loopbackPeer("h1")
            val wrongKey = "another key".encodeToByteArray()
            withData(
                mapOf(
                    "wrong cluster" to
                        (settings.copy(clusterId = "x") to HandshakeRefusal.WRONG_CLUSTER),
                    "wrong key" to
                        (settings.copy(clusterKey = wrongKey) to HandshakeRefusal.WRONG_KEY),
                    "a nearly equal key" to (
                        settings.copy(clusterKey = settings.clusterKey + 0) to
                            HandshakeRefusal.WRONG_KEY
                        )
                )
            ) { (client, reason) ->
                Listener().use { listener ->
                    val selector = SelectorManager(Dispatchers.IO)
                    val types = LinkTypes(String.serializer(), String.serializer(), { 1 })
                    val address = PeerAddress("127.0.0.1", listener.network.port)
                    shouldThrow<HandshakeFailed> {
                        dial(selector, client, Role.ENTRY, HostId("c1"), address, types)
                    }.reason shouldBe reason
                    shouldThrow<HandshakeFailed> {
                        dial(selector, settings, Role.ENTRY, HostId("c2"), address, types)
                    }.reason shouldBe HandshakeRefusal.WRONG_HOST
                    selector.close()
                    listener.received shouldBe emptyList()
                }
            }
        }

        context("an invalid greeting is accepted") {
            withData(
                mapOf(
                    "another protocol version" to (
                        greeting(helloOfEntry.copy(protocolVersion = 2)) to
                            HandshakeRefusal.WRONG_VERSION
                        ),
                    "a short nonce" to (
                        greeting(helloOfEntry.copy(nonce = Blob(ByteArray(8)))) to
                            HandshakeRefusal.MALFORMED
                        ),
                    "a proof before the greeting" to (
                        cellCbor.encodeToByteArray<HandshakeMessage>(
                            HandshakeMessage.Proof(Blob(ByteArray(32)))
                        ) to HandshakeRefusal.MALFORMED
                        ),
                    "an empty frame" to (ByteArray(0) to HandshakeRefusal.MALFORMED),
                    "a frame longer than any greeting" to
                        (ByteArray(5_000) to HandshakeRefusal.MALFORMED)
                )
            ) { (frame, reason) ->
                Listener().use { listener ->
                    Socket("127.0.0.1", listener.network.port).use {
                        it.exchange(frame) shouldBe HandshakeMessage.Refused(reason)
                        it.getInputStream().read() shouldBe -1
                    }
                }
            }
        }

        test("a client that reflects the messages of the server gets a proof") {
            Listener().use { listener ->
                Socket("127.0.0.1", listener.network.port).use { socket ->
                    val answer = socket.exchange(greeting(helloOfEntry))
                    val frame = cellCbor.encodeToByteArray(answer)
                    socket.exchange(frame) shouldBe
                        HandshakeMessage.Refused(HandshakeRefusal.MALFORMED)
                }
            }
        }

        test("random bytes are taken for a message or make the port unusable (seed $SEED)") {
            val random = Random(SEED)
            Listener().use { listener ->
                repeat(100) {
                    runCatching {
                        Socket("127.0.0.1", listener.network.port).use { socket ->
                            socket.getOutputStream().write(random.nextBytes(random.nextInt(400)))
                        }
                    }
                }
                val other = Listener(loopbackPeer("c2", listener.network.port))
                other.use {
                    eventually(conditionTimeout) {
                        it.network.send(HostId("c1"), "hello") shouldBe true
                        "c2: hello" shouldBeIn listener.received
                    }
                }
                listener.received.toSet() shouldBe setOf("c2: hello")
            }
        }

        test("clients that never finish the handshake keep members out") {
            val settings = loopbackPeer("c1").copy(handshakeTimeoutMs = 300)
            Listener(settings.copy(maxPendingHandshakes = 4)).use { listener ->
                val clients = List(20) { Socket("127.0.0.1", listener.network.port) }
                Listener(loopbackPeer("c2", listener.network.port)).use { other ->
                    eventually(conditionTimeout) {
                        other.network.isConnected(HostId("c1")) shouldBe
                            true
                    }
                }
                clients.forEach { it.close() }
            }
        }
    })
