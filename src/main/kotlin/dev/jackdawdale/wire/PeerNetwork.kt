package dev.jackdawdale.wire

import dev.jackdawdale.model.HostId
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.KSerializer
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.wire")
private const val ACCEPT_RETRY_MS = 50L

/** Reasons that indicate a misconfigured member. */
private val settingsRefusals = setOf(
    HandshakeRefusal.WRONG_VERSION,
    HandshakeRefusal.WRONG_CLUSTER,
    HandshakeRefusal.WRONG_KEY,
    HandshakeRefusal.WRONG_HOST
)

/**
 * The callbacks of a [PeerNetwork]. They are called on transport threads, in order for each peer,
 * and must not block.
 */
internal class PeerCallbacks<M>(
    val onPeerMessage: (from: HostId, message: M) -> Unit,
    val onSessionMessage: (session: ControlSession, message: EntryMessage) -> Unit,
    val onSessionClosed: (session: ControlSession) -> Unit,
    val onPeerDisconnected: (from: HostId) -> Unit = {}
)

/**
 * The transport of a control host: listens for other control hosts and for entry hosts, and
 * connects to the other control hosts.
 *
 * Each direction between two control hosts has its own connection, opened by the sender.
 */
internal class PeerNetwork<M>(
    private val settings: PeerSettings,
    private val serializer: KSerializer<M>,
    private val weightBytes: (M) -> Long,
    private val callbacks: PeerCallbacks<M>
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val sessions = SessionTable(callbacks.onSessionMessage, callbacks.onSessionClosed)
    private val outgoing = ConcurrentHashMap<HostId, PeerDialer<M>>()
    private val pendingHandshakes = AtomicInteger()
    private var server: ServerSocket? = null

    @Volatile
    private var closed = false

    /** The port that this host listens on, known after [start]. */
    val port: Int
        get() = (server?.localAddress as? InetSocketAddress)?.port ?: settings.port

    /** Starts listening and connecting; fails when the port is in use. */
    fun start() {
        val listening = runBlocking {
            aSocket(selector).tcp().bind(settings.address, settings.port) { reuseAddress = true }
        }
        server = listening
        scope.launch { acceptAll(listening) }
        for ((hostId, address) in settings.controlHosts) {
            if (hostId != settings.hostId) connectTo(hostId, address)
        }
    }

    /** Connects to the control host [hostId], and again whenever the connection ends. */
    fun connectTo(hostId: HostId, address: PeerAddress) {
        val dialer = PeerDialer(settings, hostId, address, serializer, weightBytes, selector)
        outgoing.put(hostId, dialer)?.close()
        scope.launch { dialer.run() }
    }

    /** Queues [message] for [to]; false when there is no connection (the message is dropped). */
    fun send(to: HostId, message: M): Boolean {
        val dialer = outgoing[to]
        if (dialer != null) return dialer.send(message)
        settings.resolve(to)?.let { connectTo(to, it) }
        return false
    }

    /** Whether there is an authenticated connection to [hostId]. */
    fun isConnected(hostId: HostId): Boolean = outgoing[hostId]?.isConnected ?: false

    override fun close() {
        closed = true
        outgoing.values.forEach { it.close() }
        sessions.closeAll("the host is stopping")
        server?.close()
        scope.cancel()
        selector.close()
    }

    private suspend fun acceptAll(listening: ServerSocket) {
        while (true) {
            try {
                val socket = listening.accept()
                scope.launch { serve(socket) }
            } catch (e: Exception) {
                currentCoroutineContext().ensureActive()
                if (closed) return
                log.warn("cannot accept a connection: {}", e.message)
                delay(ACCEPT_RETRY_MS)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val raw = RawLink(socket)
        try {
            val peer = authenticatePeer(raw)
            when (peer.role) {
                Role.CONTROL -> serveControl(raw, peer)
                Role.ENTRY -> serveEntry(raw, peer)
            }
        } catch (e: HandshakeFailed) {
            // Any unauthenticated client can cause the other reasons, as often as it likes.
            val level = if (e.reason in settingsRefusals) Level.WARN else Level.DEBUG
            log.log(level, "{} from {}", e.message, socket.remoteAddress)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.debug("connection from {} ended: {}", socket.remoteAddress, e.message)
        } finally {
            raw.close()
        }
    }

    private suspend fun authenticatePeer(raw: RawLink): Hello {
        val pending = pendingHandshakes.incrementAndGet()
        try {
            return withTimeout(settings.handshakeTimeoutMs) {
                if (pending > settings.maxPendingHandshakes) {
                    raw.refuse(HandshakeRefusal.TOO_MANY_CONNECTIONS)
                }
                raw.handshakeAsServer(settings)
            }
        } finally {
            pendingHandshakes.decrementAndGet()
        }
    }

    private suspend fun serveControl(raw: RawLink, peer: Hello) {
        val link = FrameLink(raw, peer, LinkTypes(serializer, serializer, weightBytes), settings)
        val reason = link.run { callbacks.onPeerMessage(peer.hostId, it) }
        log.info("connection from control host {} ended: {}", peer.hostId, reason)
        callbacks.onPeerDisconnected(peer.hostId)
    }

    private suspend fun serveEntry(raw: RawLink, peer: Hello) {
        val types = LinkTypes(
            EntryMessage.serializer(),
            ControlMessage.serializer(),
            ControlMessage::weightBytes,
            ControlMessage::insteadOfOversized
        )
        val session = LinkSession(FrameLink(raw, peer, types, settings))
        sessions.run(session)
    }
}

/** Creates the transport of a control host; nothing runs before [PeerNetwork.start]. */
internal fun <M> peerNetwork(
    settings: PeerSettings,
    serializer: KSerializer<M>,
    callbacks: PeerCallbacks<M>,
    weightBytes: (M) -> Long = { MESSAGE_OVERHEAD_BYTES }
): PeerNetwork<M> = PeerNetwork(settings, serializer, weightBytes, callbacks)
