package dev.jackdawdale.wire

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import java.io.IOException
import kotlinx.coroutines.withTimeout

/** A socket and its two byte streams. */
internal class RawLink(private val socket: Socket) {
    val input: ByteReadChannel = socket.openReadChannel()
    val output: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Sends what was flushed, then closes. */
    fun close() = socket.close()

    /** Closes at once, even while a write is blocked because the peer does not read. */
    fun abort() {
        output.cancel(IOException("the connection is closed"))
        input.cancel(IOException("the connection is closed"))
        socket.close()
    }
}

/** Connects to [peer] within the connect timeout. */
internal suspend fun SelectorManager.connect(peer: PeerAddress, settings: PeerSettings): RawLink =
    withTimeout(settings.connectTimeoutMs) {
        RawLink(aSocket(this@connect).tcp().connect(peer.address, peer.port) { noDelay = true })
    }
