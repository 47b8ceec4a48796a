package dev.jackdawdale.settings

import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.TokenHash
import java.nio.file.Path

internal enum class Role { ENTRY, CONTROL }

/** How callers, operators and members authenticate. */
internal enum class AuthMode { TOKEN, NONE }

internal enum class LogFormat { JSON, TEXT }

internal enum class LogLevel { ERROR, WARN, INFO, DEBUG, TRACE }

/** A host of the system and the address of its peer port; written `id@ip:port`. */
internal data class HostAddress(val hostId: HostId, val address: String, val port: Int)

internal data class HostSettings(
    val id: HostId,
    val failureDomain: FailureDomain,
    val roles: Set<Role>
)

internal data class HttpSettings(
    val address: String,
    val port: Int,
    val maxBodyBytes: Int,
    val maxConnections: Int,
    val idleTimeoutMs: Long
)

/** @property clusterKeyFile null only for a cell of one process on loopback */
internal data class PeerSettings(
    val address: String,
    val port: Int,
    val clusterId: String,
    val clusterKeyFile: Path?,
    val maxFrameBytes: Int
)

/**
 * @property dataFolder null when the process has no control role
 * @property replicas all control replicas of the cell, this host included
 */
internal data class ControlSettings(
    val dataFolder: Path?,
    val replicas: List<HostAddress>,
    val electionTimeoutMs: Long,
    val heartbeatMs: Long,
    val snapshotEveryEntries: Long,
    val dedupWindowH: Int
)

/** @property control the control hosts that the entry role opens sessions with */
internal data class EntrySettings(
    val control: List<HostAddress>,
    val drainGraceMs: Long,
    val drainTimeoutMs: Long
)

internal data class WorkerSettings(val leaseMs: Long, val leaseMarginMs: Long, val pollMs: Long)

internal data class AuthSettings(
    val mode: AuthMode,
    val operatorTokenHashes: List<TokenHash>,
    val memberTokenHashes: List<TokenHash>
)

internal data class LogSettings(val format: LogFormat, val level: LogLevel)

/** All settings of a process; values are checked against each other when a file is loaded. */
internal data class Settings(
    val host: HostSettings,
    val http: HttpSettings,
    val peer: PeerSettings,
    val control: ControlSettings,
    val entry: EntrySettings,
    val worker: WorkerSettings,
    val auth: AuthSettings,
    val log: LogSettings
)

internal fun Settings.hasRole(role: Role): Boolean = role in host.roles
