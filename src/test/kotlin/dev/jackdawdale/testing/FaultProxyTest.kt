package dev.jackdawdale.testing

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException

/** A server on loopback that sends back each byte. */
private class EchoServer : AutoCloseable {
    private val listener = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
    val port: Int get() = listener.localPort

    init {
        Thread {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: return@Thread
                Thread { runCatching { socket.getInputStream().copyTo(socket.getOutputStream()) } }
                    .apply { isDaemon = true }.start()
            }
        }.apply { isDaemon = true }.start()
    }

    override fun close() = listener.close()
}

private fun Socket.echo(text: String): String {
    getOutputStream().write(text.encodeToByteArray())
    return getInputStream().readNBytes(text.length).decodeToString()
}

private fun withProxy(test: (FaultProxy, Socket) -> Unit) = EchoServer().use { server ->
    FaultProxy(server.port).use { proxy ->
        Socket(InetAddress.getLoopbackAddress(), proxy.port).use { socket ->
            socket.soTimeout = 10_000
            socket.echo("first") shouldBe "first"
            test(proxy, socket)
        }
    }
}

class FaultProxyTest :
    FunSpec({
        test("a silent drop holds bytes back without closing and forwards them when healed") {
            withProxy { proxy, socket ->
                proxy.set(Direction.TO_CLIENT, LinkFault.SilentDrop)
                socket.getOutputStream().write("later".encodeToByteArray())
                socket.soTimeout = 100
                shouldThrow<SocketTimeoutException> { socket.getInputStream().read() }
                proxy.forwardedBytes(Direction.TO_SERVER) shouldBe 10
                proxy.forwardedBytes(Direction.TO_CLIENT) shouldBe 5
                proxy.heal()
                socket.soTimeout = 10_000
                socket.getInputStream().readNBytes(5).decodeToString() shouldBe "later"
            }
        }

        test("a cut forwards no byte beyond its limit") {
            withProxy { proxy, socket ->
                proxy.set(Direction.TO_CLIENT, LinkFault.CutAfter(3))
                socket.getOutputStream().write("abcdef".encodeToByteArray())
                val received = runCatching { socket.getInputStream().readNBytes(6) }.getOrNull()
                (received == null || received.decodeToString() == "abc") shouldBe true
            }
        }

        test("a reset ends connections and refuses new ones until healed") {
            withProxy { proxy, socket ->
                proxy.reset(refuseNew = true)
                shouldThrow<IOException> { check(socket.getInputStream().read() < 0) }
                Socket(InetAddress.getLoopbackAddress(), proxy.port).use {
                    runCatching { it.echo("x") }.getOrDefault("") shouldBe ""
                }
                proxy.heal()
                Socket(InetAddress.getLoopbackAddress(), proxy.port).use {
                    it.echo("again") shouldBe "again"
                }
            }
        }

        test("a half-open connection stays open and silent for the client") {
            withProxy { proxy, socket ->
                proxy.halfOpen()
                socket.soTimeout = 100
                shouldThrow<SocketTimeoutException> { socket.getInputStream().read() }
            }
        }

        test("a delayed or slow link loses nothing") {
            withProxy { proxy, socket ->
                proxy.set(LinkFault.Delay(20))
                socket.echo("delayed") shouldBe "delayed"
                proxy.set(LinkFault.Slow(1_000))
                socket.echo("slow") shouldBe "slow"
            }
        }
    })
