package dev.jackdawdale.testing

import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Direction of the bytes through a [FaultProxy]. */
internal enum class Direction { TO_SERVER, TO_CLIENT }

/** The fault that a [FaultProxy] applies to the bytes of one direction. */
internal sealed interface LinkFault {
    data object None : LinkFault

    /** Each chunk is forwarded after a delay of [delayMs]. */
    data class Delay(val delayMs: Long) : LinkFault

    /** Limits the throughput to [bytesPerSec]. */
    data class Slow(val bytesPerSec: Int) : LinkFault

    /**
     * Bytes are held back while the connections stay open, and are forwarded when the fault is
     * removed, as by TCP's retransmission after a partition.
     */
    data object SilentDrop : LinkFault

    /** Closes both sides of a connection after [bytes] more bytes, counted per connection. */
    data class CutAfter(val bytes: Long) : LinkFault
}

/**
 * A TCP proxy on loopback with faults that can be set at run time for each direction. During a
 * [LinkFault.SilentDrop], new connections are accepted but no bytes are forwarded.
 *
 * Example: `proxy.set(Direction.TO_CLIENT, LinkFault.SilentDrop)`.
 */
internal class FaultProxy(private val targetPort: Int) : AutoCloseable {
    private val loopback = InetAddress.getLoopbackAddress()
    private val listener = ServerSocket(0, BACKLOG, loopback)
    private val openConnections = ConcurrentHashMap.newKeySet<Connection>()
    private val faults = ConcurrentHashMap<Direction, LinkFault>()
    private val forwarded = Direction.entries.associateWith { AtomicLong() }

    @Volatile
    private var refusing = false

    val port: Int get() = listener.localPort
    val connections: Int get() = openConnections.size

    /** Bytes forwarded in [direction] since the proxy was created. */
    fun forwardedBytes(direction: Direction): Long = forwarded.getValue(direction).get()

    init {
        thread("proxy-accept-$port", ::acceptLoop)
    }

    fun set(direction: Direction, fault: LinkFault) {
        faults[direction] = fault
    }

    /** Sets [fault] in both directions. */
    fun set(fault: LinkFault) = Direction.entries.forEach { set(it, fault) }

    /** Removes all faults; connections that were closed stay closed. */
    fun heal() {
        refusing = false
        set(LinkFault.None)
    }

    /** Resets (RST) every connection and, with [refuseNew], each new one until [heal]. */
    fun reset(refuseNew: Boolean = false) {
        refusing = refuseNew
        openConnections.forEach(Connection::reset)
    }

    /** Closes the server's side of every connection; the client's side stays open and silent. */
    fun halfOpen() = openConnections.forEach { it.closeQuietly(it.server) }

    override fun close() {
        listener.close()
        openConnections.forEach(Connection::close)
    }

    private fun acceptLoop() {
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
        val connection = Connection(client, server)
        openConnections += connection
        thread("proxy-up-$port") { pump(connection, Direction.TO_SERVER) }
        thread("proxy-down-$port") { pump(connection, Direction.TO_CLIENT) }
    }

    private fun pump(connection: Connection, direction: Direction) {
        val (from, to) = when (direction) {
            Direction.TO_SERVER -> connection.client to connection.server
            Direction.TO_CLIENT -> connection.server to connection.client
        }
        try {
            copy(connection, direction, from.getInputStream(), to.getOutputStream())
            to.shutdownOutput()
        } catch (_: IOException) {
            // After [halfOpen], the client's side stays open until the proxy or client closes it.
            if (!connection.server.isClosed || connection.client.isClosed) connection.close()
        } finally {
            if (connection.finishDirection()) {
                connection.close()
                openConnections -= connection
            }
        }
    }

    private fun copy(
        connection: Connection,
        direction: Direction,
        input: InputStream,
        output: OutputStream
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            awaitEndOfDrop(connection, direction)
            when (val fault = faults[direction] ?: LinkFault.None) {
                is LinkFault.Delay -> Thread.sleep(fault.delayMs)
                is LinkFault.Slow -> Thread.sleep(count * MS_PER_SEC / fault.bytesPerSec)
                is LinkFault.CutAfter -> if (connection.addAndExceeds(fault.bytes, count)) {
                    val rest =
                        maxOf(0L, count - (connection.bytesSinceCutSet.get() - fault.bytes)).toInt()
                    output.write(buffer, 0, rest)
                    throw IOException("cut")
                }
                else -> Unit
            }
            output.write(buffer, 0, count)
            forwarded.getValue(direction).addAndGet(count.toLong())
        }
    }

    private fun awaitEndOfDrop(connection: Connection, direction: Direction) {
        while (faults[direction] == LinkFault.SilentDrop) {
            if (connection.client.isClosed ||
                listener.isClosed
            ) {
                throw IOException("closed during a silent drop")
            }
            Thread.sleep(POLL_MS)
        }
    }

    private class Connection(val client: Socket, val server: Socket) {
        val bytesSinceCutSet = AtomicLong()
        private val finishedDirections = AtomicLong()

        /** Counts [count] more bytes; true when the total exceeds [limit]. */
        fun addAndExceeds(limit: Long, count: Int): Boolean =
            bytesSinceCutSet.addAndGet(count.toLong()) > limit

        /** Counts a finished direction; true when both are finished. */
        fun finishDirection(): Boolean = finishedDirections.incrementAndGet() == 2L

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
