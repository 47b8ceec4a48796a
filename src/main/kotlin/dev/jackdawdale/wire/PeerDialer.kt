package dev.jackdawdale.wire

import dev.jackdawdale.model.HostId
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.KSerializer
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.wire")

/** Connects and completes the handshake within the timeouts of [settings]. */
internal suspend fun <I, O> dial(
    selector: SelectorManager,
    settings: PeerSettings,
    role: Role,
    hostId: HostId,
    address: PeerAddress,
    types: LinkTypes<I, O>
): FrameLink<I, O> {
    val raw = selector.connect(address, settings)
    var authenticated = false
    try {
        val peer = withTimeout(settings.handshakeTimeoutMs) {
            raw.handshakeAsClient(settings, role, hostId)
        }
        authenticated = true
        return FrameLink(raw, peer, types, settings)
    } finally {
        if (!authenticated) raw.close()
    }
}

/** Keeps an outgoing connection to one control host. */
internal class PeerDialer<M>(
    private val settings: PeerSettings,
    private val hostId: HostId,
    private val address: PeerAddress,
    serializer: KSerializer<M>,
    weightBytes: (M) -> Long,
    private val selector: SelectorManager
) {
    private val types = LinkTypes(serializer, serializer, weightBytes)

    @Volatile
    private var link: FrameLink<M, M>? = null

    @Volatile
    private var closed = false

    val isConnected: Boolean get() = link?.closedBecause == null && link != null

    fun send(message: M): Boolean = link?.send(message) ?: false

    fun close() {
        closed = true
        link?.close("the host is stopping")
    }

    suspend fun run() {
        val backOff = BackOff(settings.reconnectMinMs, settings.reconnectMaxMs)
        while (!closed) {
            if (connectOnce()) backOff.reset()
            delay(backOff.nextMs())
        }
    }

    /** True when the handshake succeeded. */
    private suspend fun connectOnce(): Boolean {
        try {
            val open = dial(selector, settings, Role.CONTROL, hostId, address, types)
            link = open
            val reason = open.run { log.debug("ignored a message from the accepting side") }
            log.info("connection to control host {} ended: {}", hostId, reason)
            return true
        } catch (e: HandshakeFailed) {
            log.warn("control host {}: {}", hostId, e.message)
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.debug("cannot connect to control host {}: {}", hostId, e.message)
        } finally {
            link = null
        }
        return false
    }
}
