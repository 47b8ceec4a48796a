package dev.jackdawdale.wire

import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId

/** IP address and port of a process of the system. */
internal data class PeerAddress(val address: String, val port: Int)

/**
 * Settings of the connections to the other processes of the system.
 *
 * @property hostId name of this host; unique in the cluster
 * @property incarnation increases with each start of the process
 * @property port port to listen on; 0 picks a free one
 * @property clusterKey shared secret that each side proves in the handshake
 * @property controlHosts control hosts by name, this one included when it has the role
 * @property resolve finds a control host that [controlHosts] does not list, or null
 * @property maxQueuedMessages queued messages for one peer above which its connection is closed
 * @property maxQueuedBytes estimated size of these messages
 * @property heartbeatMs interval of the empty frames that keep a connection alive
 * @property silenceTimeoutMs a connection on which nothing arrives for this time is closed
 * @property sessionTimeoutMs the same for an entry host's session; it limits the age of a dispatch
 * that was delayed in the network
 * @property clock stamps the messages of this process for the timeline
 * @property maxPendingHandshakes accepted connections that may be in the handshake at once
 */
internal data class PeerSettings(
    val hostId: HostId,
    val incarnation: Long,
    val failureDomain: FailureDomain = FailureDomain("local"),
    val clusterId: String = "local",
    val clusterKey: ByteArray,
    val address: String = "127.0.0.1",
    val port: Int = 0,
    val controlHosts: Map<HostId, PeerAddress> = emptyMap(),
    val resolve: (HostId) -> PeerAddress? = { null },
    val maxFrameBytes: Int = 4 * 1024 * 1024,
    val maxQueuedMessages: Int = 16_384,
    val maxQueuedBytes: Long = 32L * 1024 * 1024,
    val connectTimeoutMs: Long = 1_000,
    val handshakeTimeoutMs: Long = 2_000,
    val heartbeatMs: Long = SESSION_HEARTBEAT_MS,
    val silenceTimeoutMs: Long = SESSION_TIMEOUT_MS,
    val sessionTimeoutMs: Long = 2_000,
    val reconnectMinMs: Long = 50,
    val reconnectMaxMs: Long = 1_000,
    val maxPendingHandshakes: Int = 256,
    val clock: FrameClock = FrameClock()
)

/** The address of the control host [hostId], or null when it is unknown. */
internal fun PeerSettings.addressOf(hostId: HostId): PeerAddress? =
    controlHosts[hostId] ?: resolve(hostId)
