package dev.jackdawdale.host

import dev.jackdawdale.entry.CustomerTokens
import dev.jackdawdale.entry.EntryHost
import dev.jackdawdale.entry.HttpServer
import dev.jackdawdale.entry.Route
import dev.jackdawdale.entry.entryHost
import dev.jackdawdale.entry.httpServer
import dev.jackdawdale.entry.processRoutes
import dev.jackdawdale.settings.LogFormat
import dev.jackdawdale.settings.Role
import dev.jackdawdale.settings.Settings
import dev.jackdawdale.settings.hasRole
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.telemetry.CellMeters
import dev.jackdawdale.telemetry.LogConfig
import dev.jackdawdale.telemetry.ReplicaMeters
import dev.jackdawdale.telemetry.configureLogging
import dev.jackdawdale.telemetry.prometheusRegistry
import dev.jackdawdale.timeline.EventKind
import dev.jackdawdale.timeline.timeline
import dev.jackdawdale.wire.FrameClock
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.runBlocking
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.host")
private const val STATUS_TIMEOUT_MS = 1_000L
private const val STORAGE_EXIT_CODE = 74

/** Two election timeouts at their default: the leader may just change. */
private const val LEAVE_TIMEOUT_MS = 4_000L

/** One process of the system with the roles that its settings name. */
internal class HostProcess(private val settings: Settings) {
    private val clock = steadyClock()
    private val registry = prometheusRegistry(settings.host.id.value)
    private val timeline = timeline(settings.host.id.value, nowMs = clock)

    // The wall clock at the start orders the incarnations of a host; a host cannot restart within
    // the same millisecond.
    private val incarnation = System.currentTimeMillis()
    private val clusterKey = settings.readClusterKey()
    private val frameClock = FrameClock(timeline::stamp, timeline::observe)

    init {
        val level = Level.valueOf(settings.log.level.name)
        val json = settings.log.format == LogFormat.JSON
        configureLogging(LogConfig(json, level, settings.host.id.value, incarnation))
    }

    private val control: ControlRole? = if (settings.hasRole(Role.CONTROL)) {
        val peer = settings.forPeers(settings.control.replicas, incarnation, clusterKey, frameClock)
        ControlRole(
            settings,
            peer,
            controlObserver(timeline, CellMeters(registry), ReplicaMeters(registry)),
            clock,
            ::storageFailed
        )
    } else {
        null
    }

    private val entry: EntryHost? = if (settings.hasRole(Role.ENTRY)) {
        val peer = settings.forPeers(settings.controlHosts(), incarnation, clusterKey, frameClock)
        entryHost(settings.forEntry(), peer, registry, ::recordEvent)
    } else {
        null
    }

    @Volatile
    private var stopping = false

    private val http: HttpServer = httpServer(
        settings.forHttp(),
        routes(),
        { customerId -> entry?.customerTokens(customerId) ?: CustomerTokens.Stale },
        registry
    )

    fun start() {
        timeline.record(EventKind.HOST_STARTED, settings.host.id.value)
        control?.start()
        entry?.start()
        http.start()
        log.info("host {} runs the roles {}", settings.host.id, settings.host.roles)
    }

    /**
     * Finishes the work in flight, transfers leadership, leaves the membership if a successor has
     * joined, and stops.
     */
    fun stop() {
        stopping = true
        timeline.record(EventKind.HOST_STOPPING, settings.host.id.value)
        log.info("stopping: waiting for work in flight")
        entry?.let { runBlocking { it.awaitDrained() } }
        runBlocking { http.drain(settings.entry.drainTimeoutMs) }
        control?.transferLeadership()
        control?.leave(LEAVE_TIMEOUT_MS)
        http.close()
        entry?.close()
        control?.close()
        log.info("stopped")
    }

    private fun routes(): List<Route> = entry?.routes.orEmpty() +
        processRoutes(registry, ::notReadyReason, timeline::json)

    private fun recordEvent(kind: EventKind, subject: String, details: String) =
        timeline.record(kind, subject, settings.host.id.value, details = details)

    private fun notReadyReason(): String? = when {
        stopping -> "stopping"
        entry != null -> entry.notReadyReason()
        else -> controlNotReadyReason()
    }

    private fun controlNotReadyReason(): String? {
        val status = control?.status()?.get(STATUS_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        return if (status?.leader == null) "no leader is known" else null
    }

    /** Halts, because the content of the disk is uncertain; a restart reads what is durable. */
    private fun storageFailed(error: StorageError) {
        log.error("storage failed, the process stops: {}", error)
        Runtime.getRuntime().halt(STORAGE_EXIT_CODE)
    }
}
