package dev.jackdawdale.testing

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Which way bytes flow through a [FaultProxy]. */
internal enum class Direction { TO_SERVER, TO_CLIENT }

/** What happens to the bytes of one direction. */
internal sealed interface LinkFault {
    data object None : LinkFault

    /** Bytes leave [delayMs] late. */
    data class Delay(val delayMs: Long) : LinkFault

    /** At most [bytesPerSec] leave. */
    data class Slow(val bytesPerSec: Int) : LinkFault

    /**
     * Bytes are held back without any sign and leave when the fault is lifted, as TCP's
     * retransmission does after a partition.
     */
    data object SilentDrop : LinkFault

    /** Both sides are closed after [bytes] more bytes; it holds for each connection by itself. */
    data class CutAfter(val bytes: Long) : LinkFault
}

/**
 * A TCP proxy on loopback that injects faults, settable at run time for each direction. While a
 * direction drops, new connections are still accepted but nothing passes.
 *
 * Example: `proxy.set(Direction.TO_CLIENT, LinkFault.SilentDrop)`.
 */
internal class FaultProxy(private val targetPort: Int) : AutoCloseable {
    private val loopback = InetAddress.getLoopbackAddress()
    private val listener = ServerSocket(0, BACKLOG, loopback)
    private val pairs = ConcurrentHashMap.newKeySet<Pair>()
    private val faults = ConcurrentHashMap<Direction, LinkFault>()
    private val passed = Direction.entries.associateWith { AtomicLong() }

    @Volatile
    private var refusing = false

    val port: Int get() = listener.localPort
    val connections: Int get() = pairs.size

    /** Bytes that left in [direction] since the start. */
    fun passedBytes(direction: Direction): Long = passed.getValue(direction).get()

    init {
        thread("proxy-accept-$port", ::accept)
    }

    fun set(direction: Direction, fault: LinkFault) {
        faults[direction] = fault
    }

    /** Sets [fault] in both directions. */
    fun set(fault: LinkFault) = Direction.entries.forEach { set(it, fault) }

    /** Lifts every fault; connections that were cut stay cut. */
    fun heal() {
        refusing = false
        set(LinkFault.None)
    }

    /** Resets every connection (RST) and each new one while [refusing]. */
    fun reset(refuseNew: Boolean = false) {
        refusing = refuseNew
        pairs.forEach(Pair::reset)
    }

    /** Closes the server's side of every connection; the client's side stays open and silent. */
    fun halfOpen() = pairs.forEach { it.closeQuietly(it.server) }

    override fun close() {
        listener.close()
        pairs.forEach(Pair::close)
    }

    private fun accept() {
        while (!listener.isClosed) {
            val client = try {
                listener.accept()
            } catch (_: IOException) {
                return
            }
            if (refusing) resetSocket(client) else thread("proxy-connect-$port") { connect(client) }
        }
    }

    private fun connect(client: Socket) {
        val server = try {
            Socket(loopback, targetPort)
        } catch (_: IOException) {
            resetSocket(client)
            return
        }
        val pair = Pair(client, server)
        pairs += pair
        thread("proxy-up-$port") { pump(pair, Direction.TO_SERVER) }
        thread("proxy-down-$port") { pump(pair, Direction.TO_CLIENT) }
    }

    private fun pump(pair: Pair, direction: Direction) {
        val (from, to) = when (direction) {
            Direction.TO_SERVER -> pair.client to pair.server
            Direction.TO_CLIENT -> pair.server to pair.client
        }
        try {
            copy(pair, direction, from.getInputStream(), to.getOutputStream())
            to.shutdownOutput()
        } catch (_: IOException) {
            // A half-open pair keeps its client's side open until the proxy or client closes it.
            if (!pair.server.isClosed || pair.client.isClosed) pair.close()
        } finally {
            if (pair.finishedOne()) {
                pair.close()
                pairs -= pair
            }
        }
    }

    private fun copy(pair: Pair, direction: Direction, input: InputStream, output: OutputStream) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            awaitPassage(pair, direction)
            when (val fault = faults[direction] ?: LinkFault.None) {
                is LinkFault.Delay -> Thread.sleep(fault.delayMs)
                is LinkFault.Slow -> Thread.sleep(count * MS_PER_SEC / fault.bytesPerSec)
                is LinkFault.CutAfter -> if (pair.cutNow(fault.bytes, count)) {
                    val rest = maxOf(0L, count - (pair.sinceCutSet.get() - fault.bytes)).toInt()
                    output.write(buffer, 0, rest)
                    throw IOException("cut")
                }
                else -> Unit
            }
            output.write(buffer, 0, count)
            passed.getValue(direction).addAndGet(count.toLong())
        }
    }

    private fun awaitPassage(pair: Pair, direction: Direction) {
        while (faults[direction] == LinkFault.SilentDrop) {
            if (pair.client.isClosed ||
                listener.isClosed
            ) {
                throw IOException("closed while dropping")
            }
            Thread.sleep(POLL_MS)
        }
    }

    private class Pair(val client: Socket, val server: Socket) {
        val sinceCutSet = AtomicLong()
        private val finished = AtomicLong()

        fun cutNow(bytes: Long, count: Int): Boolean = sinceCutSet.addAndGet(count.toLong()) > bytes

        fun finishedOne(): Boolean = finished.incrementAndGet() == 2L

        fun reset() {
            resetSocket(client)
            resetSocket(server)
        }

        fun close() {
            closeQuietly(client)
            closeQuietly(server)
        }

        fun closeQuietly(socket: Socket) = try {
            socket.close()
        } catch (_: IOException) {
            // It is closed already.
        }
    }
}

private fun resetSocket(socket: Socket) {
    try {
        socket.setSoLinger(true, 0)
        socket.close()
    } catch (_: IOException) {
        // It is closed already.
    }
}

private fun thread(name: String, task: () -> Unit) {
    Thread(task, name).apply { isDaemon = true }.start()
}

private const val BACKLOG = 128
private const val BUFFER_BYTES = 16_384
private const val POLL_MS = 5L
private const val MS_PER_SEC = 1_000L
