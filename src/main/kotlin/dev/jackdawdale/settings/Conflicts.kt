package dev.jackdawdale.settings

import io.netty.util.NetUtil

/** Finds values that are valid on their own but contradict each other. */
internal fun conflicts(settings: Settings, file: SettingsFile): List<SettingsError.Conflict> {
    val found = mutableListOf<SettingsError.Conflict>()

    fun report(key: Key<*>, problem: String, expected: String) {
        found += SettingsError.Conflict(file.name, file.lineOf(key), problem, expected)
    }

    if (settings.host.roles.isEmpty()) {
        report(Keys.roles, "[host] roles is empty", "name entry, control or both")
    }
    controlConflicts(settings, ::report)
    replicaConflicts(settings, ::report)
    addressConflicts(settings, ::report)
    timeConflicts(settings, ::report)
    return found
}

private typealias ConflictReporter = (key: Key<*>, problem: String, expected: String) -> Unit

private fun controlConflicts(settings: Settings, report: ConflictReporter) {
    val self = settings.control.replicas.firstOrNull { it.hostId == settings.host.id }
    when {
        settings.hasRole(Role.CONTROL) && settings.control.dataFolder == null ->
            report(
                Keys.roles,
                "the control role needs a data folder",
                "set [control] data_folder to a folder on this host's disk"
            )
        settings.hasRole(Role.CONTROL) && self == null ->
            report(
                Keys.replicas,
                "this host (${settings.host.id}) is not among the replicas",
                "add ${settings.host.id}@${settings.peer.address}:${settings.peer.port} to " +
                    "[control] replicas or take control out of [host] roles"
            )
        self != null && self.port != settings.peer.port ->
            report(
                Keys.replicas,
                "the replicas give ${settings.host.id} port ${self.port}, [peer] port is " +
                    "${settings.peer.port}",
                "write the same port in both"
            )
    }
    if (settings.entry.control.isEmpty()) {
        report(
            Keys.entryControl,
            "no control host is known",
            "set [entry] control or [control] replicas"
        )
    }
}

private fun replicaConflicts(settings: Settings, report: ConflictReporter) {
    val lists = mapOf(
        Keys.replicas to settings.control.replicas,
        Keys.entryControl to settings.entry.control
    )
    // An empty [entry] control is a copy of the replicas; their errors are reported only once.
    for ((key, hosts) in lists.entries.distinctBy { it.value }) {
        duplicate(hosts.map { it.hostId.value })?.let {
            report(key, "[${key.section}] ${key.name} names $it twice", "name each host once")
        }
        duplicate(hosts.map { "${it.address}:${it.port}" })?.let {
            report(key, "[${key.section}] ${key.name} has $it twice", "give each its own address")
        }
    }
    val count = settings.control.replicas.size
    if (count > 0 && count !in REPLICA_COUNTS) {
        report(
            Keys.replicas,
            "[control] replicas has $count hosts",
            "use 1, 3 or 5: an even number tolerates no more failures than one less"
        )
    }
}

private fun duplicate(names: List<String>): String? =
    names.groupBy { it }.values.firstOrNull { it.size > 1 }?.first()

private fun addressConflicts(settings: Settings, report: ConflictReporter) {
    val isLocal = isLoopback(settings.http.address)
    if (settings.auth.mode == AuthMode.NONE && !isLocal) {
        report(
            Keys.authMode,
            "[auth] mode = none on ${settings.http.address}",
            "use mode = token, or [http] address = 127.0.0.1"
        )
    }
    if (settings.auth.mode == AuthMode.TOKEN && settings.auth.operatorTokenHashes.isEmpty()) {
        report(
            Keys.authMode,
            "[auth] mode = token without an operator token",
            "set operator_token_hashes; `jackdawdale token hash` prints one"
        )
    }
    val isStandalone = settings.control.replicas.size == 1 && isLoopback(settings.peer.address)
    if (settings.peer.clusterKeyFile == null && !isStandalone) {
        report(
            Keys.clusterKeyFile,
            "a cell of several processes needs a shared key",
            "set [peer] cluster_key_file to a file that all of them have"
        )
    }
    if (settings.http.address == settings.peer.address &&
        settings.http.port == settings.peer.port
    ) {
        report(Keys.peerPort, "[http] and [peer] use port ${settings.peer.port}", "use two ports")
    }
    if (settings.peer.maxFrameBytes < settings.http.maxBodyBytes + FRAME_HEADROOM_BYTES) {
        report(
            Keys.maxFrameBytes,
            "a body of [http] max_body_bytes does not fit into a message",
            "set [peer] max_frame_bytes to at least " +
                "${settings.http.maxBodyBytes + FRAME_HEADROOM_BYTES}"
        )
    }
}

private fun timeConflicts(settings: Settings, report: ConflictReporter) {
    if (settings.control.heartbeatMs * MIN_HEARTBEATS_PER_TIMEOUT >
        settings.control.electionTimeoutMs
    ) {
        report(
            Keys.heartbeatMs,
            "[control] heartbeat_ms is too long for election_timeout_ms",
            "use at most a third of it, so that two lost messages do not start an election"
        )
    }
    if (settings.worker.pollMs * MIN_POLLS_PER_LEASE > settings.worker.leaseMs) {
        report(
            Keys.pollMs,
            "[worker] poll_ms is too long for lease_ms",
            "use at most a third of lease_ms, so that two lost polls do not end a lease"
        )
    }
    if (settings.worker.leaseMarginMs * MAX_LEASE_TO_MARGIN < settings.worker.leaseMs) {
        report(
            Keys.leaseMarginMs,
            "[worker] lease_margin_ms is too short for lease_ms",
            "use at least a tenth of lease_ms: clock rates may differ by 10%"
        )
    }
}

private fun isLoopback(address: String): Boolean =
    NetUtil.createInetAddressFromIpAddressString(address)?.isLoopbackAddress == true

private val REPLICA_COUNTS = setOf(1, 3, 5)
private const val MIN_HEARTBEATS_PER_TIMEOUT = 3
private const val MIN_POLLS_PER_LEASE = 3
private const val MAX_LEASE_TO_MARGIN = 10

// For ids, headers and the CBOR structure around one body.
private const val FRAME_HEADROOM_BYTES = 16_384
