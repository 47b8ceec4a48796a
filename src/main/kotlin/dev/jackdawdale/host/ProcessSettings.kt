package dev.jackdawdale.host

import dev.jackdawdale.control.ControlSettings
import dev.jackdawdale.entry.AuthMode
import dev.jackdawdale.entry.EntrySettings
import dev.jackdawdale.entry.HttpSettings
import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.RaftSettings
import dev.jackdawdale.replica.ReplicaSettings
import dev.jackdawdale.settings.HostAddress
import dev.jackdawdale.settings.Settings
import dev.jackdawdale.wire.FrameClock
import dev.jackdawdale.wire.PeerAddress
import dev.jackdawdale.wire.PeerSettings
import java.nio.file.Files
import java.security.SecureRandom

private const val RANDOM_KEY_BYTES = 32
private const val MS_PER_HOUR = 3_600_000L

internal fun Settings.forHttp(): HttpSettings = HttpSettings(
    address = http.address,
    port = http.port,
    maxBodyBytes = http.maxBodyBytes,
    maxConnections = http.maxConnections,
    idleTimeoutMs = http.idleTimeoutMs,
    authMode = AuthMode.valueOf(auth.mode.name),
    operatorTokenHashes = auth.operatorTokenHashes,
    memberTokenHashes = auth.memberTokenHashes
)

/**
 * The settings of the transport between processes.
 *
 * @param peers control hosts that this process connects to
 */
internal fun Settings.forPeers(
    peers: List<HostAddress>,
    incarnation: Long,
    clusterKey: ByteArray,
    clock: FrameClock
): PeerSettings = PeerSettings(
    hostId = host.id,
    incarnation = incarnation,
    failureDomain = host.failureDomain,
    clusterId = peer.clusterId,
    clusterKey = clusterKey,
    address = peer.address,
    port = peer.port,
    controlHosts = peers.associate { it.hostId to PeerAddress(it.address, it.port) },
    maxFrameBytes = peer.maxFrameBytes,
    clock = clock
)

internal fun Settings.forEntry(): EntrySettings = EntrySettings(
    maxPollMs = worker.pollMs,
    drainGraceMs = entry.drainGraceMs,
    drainTimeoutMs = entry.drainTimeoutMs,
    maxAnswerBytes = http.maxBodyBytes
)

internal fun Settings.forControl(): ControlSettings = ControlSettings(
    leaseMs = worker.leaseMs,
    leaseMarginMs = worker.leaseMarginMs,
    dedupWindowMs = control.dedupWindowH * MS_PER_HOUR,
    maxPollMs = worker.pollMs
)

internal fun Settings.forReplica(): ReplicaSettings = ReplicaSettings(
    hostId = host.id,
    hosts = control.replicas.map { it.hostId },
    raft = RaftSettings(
        electionTimeoutMs = control.electionTimeoutMs,
        heartbeatMs = control.heartbeatMs,
        // A host that was replaced at another address must not count in the quorum for ever.
        targetMembers = control.replicas.size.takeIf { it > 0 }
    ),
    snapshotEveryEntries = control.snapshotEveryEntries
)

/** Reads the cluster key; a cell of one process needs none and gets a random one. */
internal fun Settings.readClusterKey(): ByteArray {
    val file = peer.clusterKeyFile
    if (file != null) return Files.readString(file).trim().encodeToByteArray()
    return ByteArray(RANDOM_KEY_BYTES).also(SecureRandom()::nextBytes)
}

/** The control hosts that the entry role opens sessions with. */
internal fun Settings.controlHosts(): List<HostAddress> =
    entry.control.ifEmpty { control.replicas }.ifEmpty {
        listOf(HostAddress(HostId(host.id.value), peer.address, peer.port))
    }
