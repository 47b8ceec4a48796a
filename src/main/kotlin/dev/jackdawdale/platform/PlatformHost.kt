package dev.jackdawdale.platform

import dev.jackdawdale.control.ControlObserver
import dev.jackdawdale.entry.Access
import dev.jackdawdale.entry.AuthMode
import dev.jackdawdale.entry.HttpServer
import dev.jackdawdale.entry.HttpSettings
import dev.jackdawdale.entry.Route
import dev.jackdawdale.entry.httpServer
import dev.jackdawdale.entry.metricsRoute
import dev.jackdawdale.host.ControlRole
import dev.jackdawdale.host.forControl
import dev.jackdawdale.host.forPeers
import dev.jackdawdale.host.forReplica
import dev.jackdawdale.host.steadyClock
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import dev.jackdawdale.outgoing.HttpCaller
import dev.jackdawdale.outgoing.HttpCallerSettings
import dev.jackdawdale.push.PushMeters
import dev.jackdawdale.push.PushSettings
import dev.jackdawdale.raft.RaftSettings
import dev.jackdawdale.replica.ReplicaSettings
import dev.jackdawdale.settings.HostAddress
import dev.jackdawdale.settings.HostSettings
import dev.jackdawdale.settings.Role
import dev.jackdawdale.settings.Settings
import dev.jackdawdale.settings.defaultSettings
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.telemetry.ReplicaMeters
import dev.jackdawdale.telemetry.prometheusRegistry
import dev.jackdawdale.wire.ControlClient
import dev.jackdawdale.wire.ControlClientCallbacks
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.EntryMessage
import dev.jackdawdale.wire.FrameClock
import dev.jackdawdale.wire.PeerAddress
import dev.jackdawdale.wire.PeerSettings
import dev.jackdawdale.wire.controlClient
import io.micrometer.core.instrument.composite.CompositeMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.platform")

/** Also the cluster key: all processes of an installation are on one closed network. */
private const val CELL_ID = "platform"
private const val STORAGE_EXIT_CODE = 74
private const val SNAPSHOT_EVERY_BYTES = 8L * 1024 * 1024
private const val RETAINED_BYTES = 2L * 1024 * 1024

/** A connection can go silent without an error; it is replaced soon after the next election. */
private const val PEER_HEARTBEAT_MS = 100L
private const val PEER_SILENCE_MS = 450L
private const val SESSION_TIMEOUT_MS = 450L
private const val CONFIGURATION_EVERY_MS = 100L

private const val CONNECT_TIMEOUT_MS = 300L

/** A frozen host accepts connections and does not answer on them. */
private const val HANDSHAKE_TIMEOUT_MS = 300L

/**
 * The shortest jobs have to end within 1.3 s, so an election may take only a part of that.
 * Longer than a garbage collection pause and a CPU stall (100 ms) together.
 */
private const val ELECTION_TIMEOUT_MS = 360L
private const val RAFT_HEARTBEAT_MS = 80L

/** A leader that only lost its connection is heard again after a heartbeat and a reconnect. */
private const val DISCONNECTED_LEADER_TIMEOUT_MS = 160L

/** After a loss of power all hosts start at about the same time. */
private const val STARTUP_ELECTION_DELAY_MS = 160L

/** Each quorum check costs a message per replica; the interval is short compared with a run. */
private const val CONFIRM_EVERY_MS = 15L

/** A leader search shorter than this does not take the host out of the load balancer. */
private const val NOT_READY_AFTER_MS = 1_000L
private const val RECONNECT_MAX_MS = 300L

/** The load balancer removes a host after two failed readiness checks, one second apart. */
private const val BALANCER_NOTICE_MS = 2_200L

/** Part of the grace period that is reserved for the exit of the process. */
private const val EXIT_MARGIN_MS = 1_000L

/** One process on the platform: serves callers, is a control host, or both. */
internal class PlatformHost(
    private val settings: PlatformSettings,
    private val incarnation: Long = System.currentTimeMillis()
) {
    private val clock = steadyClock()
    private val pushSettings = settings.toPushSettings()

    private val hostSettings = settings.toHostSettings()
    private val outgoing = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val registry = settings.metrics?.let { prometheusRegistry(settings.hostName) }
    private val meters = registry?.let(::PushMeters) ?: PushMeters()
    private val replicaMeters = registry?.let(::ReplicaMeters) ?: ReplicaMeters()
    private val rejected = RejectedBodies(registry ?: CompositeMeterRegistry(), clock)
    private val client =
        PlatformClient(HttpCaller(HttpCallerSettings(), outgoing), pushSettings, rejected)

    private val control: ControlRole? = settings.operators?.let {
        ControlRole(
            hostSettings,
            peerSettings(),
            ControlObserver(
                passFinished = meters::recordPass,
                roleChanged = ::roleChanged,
                quorumLost = replicaMeters::setQuorumLost,
                toleratedLosses = replicaMeters::setToleratedLosses
            ),
            clock,
            ::storageFailed,
            replicaSettings(),
            hostSettings.forControl().copy(
                quorumFreshMs = pushSettings.quorumFreshMs,
                configurationIntervalMs = CONFIGURATION_EVERY_MS,
                maxBatchesInFlight = 1,
                confirmEveryMs = CONFIRM_EVERY_MS
            ),
            pushSettings,
            client.workerClient,
            meters
        )
    }
    private val session: ControlClient? = settings.callers?.let {
        controlClient(
            peerSettings(),
            ControlClientCallbacks(
                heldAttempts = { emptyList() },
                onOpened = { term -> log.info("session with the leader of term {} is open", term) },
                onLost = { log.warn("lost the session with the leader") },
                onMessage = ::received
            )
        )
    }

    @Volatile
    private var stopping = false

    private val servers: List<HttpServer> = listOfNotNull(
        settings.operators?.let { address ->
            val role = checkNotNull(control)
            val routes = OperatorRoutes(role, address.port, rejected, settings.hasCustomers)
            httpServer(address.toHttp(), routes.routes)
        },
        settings.callers?.let { address ->
            val routes = CallerRoutes(checkNotNull(session), rejected, clock)
            httpServer(address.toHttp(), emptyList(), fallback = routes.route)
        },
        settings.metrics?.let { address ->
            httpServer(address.toHttp(), listOf(metricsRoute(checkNotNull(registry))))
        }
    )
    private val readiness: HttpServer? = settings.readiness?.let { address ->
        val route = Route("GET", "/readiness", Access.ANYONE) {
            if (isReady) text(OK, "ready") else text(UNAVAILABLE, "not ready")
        }
        httpServer(address.toHttp(), listOf(route))
    }

    private val isReady: Boolean
        get() {
            val client = session ?: return !stopping
            if (client.isOpen) lastOpenMs = clock()
            return !stopping && clock() - lastOpenMs < NOT_READY_AFTER_MS
        }

    @Volatile
    private var lastOpenMs = Long.MIN_VALUE / 2

    fun start() {
        control?.start()
        session?.start()
        servers.forEach { it.start() }
        readiness?.start()
        log.info("host {} at {} has started", settings.hostName, settings.hostIp)
    }

    /**
     * Reports not ready, hands leadership over, waits until the load balancer has removed the host,
     * drains calls in flight and leaves the membership if a successor has joined.
     */
    fun stop() {
        stopping = true
        val endMs = clock() + settings.gracePeriodMs - EXIT_MARGIN_MS
        log.info("host {} is stopping", settings.hostName)
        control?.transferLeadership()
        if (settings.readiness != null) Thread.sleep(BALANCER_NOTICE_MS)
        val leftMs = settings.gracePeriodMs - BALANCER_NOTICE_MS - EXIT_MARGIN_MS
        runBlocking { servers.forEach { it.drain(leftMs) } }
        control?.leave(timeoutMs = maxOf(endMs - clock(), 0))
        control?.close()
        log.info("host {} has stopped", settings.hostName)
    }

    /** Applies changed seeds. Addresses are fixed for the life of a process. */
    fun reload(changed: PlatformSettings) {
        log.info("settings reloaded; seeds: {}", changed.seeds)
        session?.addControlHosts(changed.seeds.map { HostId(it.ip) })
    }

    private fun received(message: ControlMessage) {
        if (message !is ControlMessage.AskAdvice) return
        val address = settings.adviser
        if (address == null) {
            log.warn("the leader asks for advice, but no adviser is configured")
            return
        }
        client.askAdvice(address, message.stepId, message.workers) { result ->
            session?.send(EntryMessage.AdviceAnswered(message.callId, result))
        }
    }

    private fun roleChanged(leading: Boolean, term: Long) =
        log.info("{} in term {}", if (leading) "leads" else "follows", term)

    private fun storageFailed(error: StorageError) {
        log.error("storage failed, the process stops: {}", error)
        Runtime.getRuntime().halt(STORAGE_EXIT_CODE)
    }

    private fun peerSettings(): PeerSettings {
        val seeds = settings.seeds.map { HostAddress(HostId(it.ip), it.ip, settings.peerPort) }
        return hostSettings.forPeers(
            seeds,
            incarnation,
            CELL_ID.encodeToByteArray(),
            FrameClock()
        ).copy(
            resolve = { PeerAddress(it.value, settings.peerPort) },
            connectTimeoutMs = CONNECT_TIMEOUT_MS,
            handshakeTimeoutMs = HANDSHAKE_TIMEOUT_MS,
            heartbeatMs = PEER_HEARTBEAT_MS,
            silenceTimeoutMs = PEER_SILENCE_MS,
            sessionTimeoutMs = SESSION_TIMEOUT_MS,
            reconnectMaxMs = RECONNECT_MAX_MS
        )
    }

    private fun replicaSettings(): ReplicaSettings = hostSettings.forReplica().copy(
        raft = RaftSettings(
            electionTimeoutMs = ELECTION_TIMEOUT_MS,
            heartbeatMs = RAFT_HEARTBEAT_MS,
            disconnectedLeaderTimeoutMs = DISCONNECTED_LEADER_TIMEOUT_MS,
            startupElectionDelayMs = STARTUP_ELECTION_DELAY_MS,
            targetMembers = 2 * settings.toleratedLosses + 1
        ),
        snapshotEveryBytes = SNAPSHOT_EVERY_BYTES,
        retainedBytes = RETAINED_BYTES,
        mayFormCell = settings.firstStart,
        allowUnlistedHosts = true,
        seed = incarnation xor settings.hostIp.hashCode().toLong()
    )
}

private fun Address.toHttp() = HttpSettings(
    address = ip,
    port = port,
    threads = 1,
    authMode = AuthMode.PRIVATE_NETWORK
)

private fun PlatformSettings.toPushSettings(): PushSettings {
    val defaults = PushSettings()
    return defaults.copy(
        remoteFactor = remoteFactor,
        rateWindowMs = rateWindowMs ?: defaults.rateWindowMs,
        maxLeaseMs = maxLeaseMs ?: defaults.maxLeaseMs
    )
}

private fun PlatformSettings.toHostSettings(): Settings {
    val defaults = defaultSettings()
    val roles = buildSet {
        if (operators != null) add(Role.CONTROL)
        if (callers != null) add(Role.ENTRY)
    }
    val replicas = seeds.map { HostAddress(HostId(it.ip), it.ip, peerPort) }
    return defaults.copy(
        host = HostSettings(HostId(hostIp), FailureDomain(failureDomain), roles),
        peer = defaults.peer.copy(address = hostIp, port = peerPort, clusterId = CELL_ID),
        control = defaults.control.copy(dataFolder = dataFolder, replicas = replicas)
    )
}
