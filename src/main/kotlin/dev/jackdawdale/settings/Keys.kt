package dev.jackdawdale.settings

/**
 * One key of the settings file.
 *
 * @property unit unit of the value, or an empty string
 * @property default default as text, or null when the key is required or has no value
 * @property description one sentence for the reference page
 */
internal class Key<T>(
    val section: String,
    val name: String,
    val type: ValueType<T>,
    val default: String?,
    val description: String,
    val unit: String = ""
)

/** Every key that a settings file may hold; the reference page is generated from [all]. */
internal object Keys {
    private const val MIB = 1_048_576L
    private const val MAX_MS = 3_600_000L
    private val port = wholeNumber("a port", 1L..MAX_PORT.toLong())

    val hostId = Key("host", "id", idText, "local", "Id of this host; unique in the cell.")
    val failureDomain = Key(
        "host",
        "failure_domain",
        idText,
        "local",
        "Failure domain of this host: machines in the same one can fail together."
    )
    val roles = Key(
        "host",
        "roles",
        commaSeparated(oneOf(Role.entries)),
        "entry, control",
        "Roles of this process."
    )

    val httpAddress = Key(
        "http",
        "address",
        ipAddress,
        "127.0.0.1",
        "Listen address for callers, endpoints, workers, operators and the load balancer."
    )
    val httpPort = Key("http", "port", port, "7400", "Port of the HTTP interface.")
    val maxBodyBytes = Key(
        "http",
        "max_body_bytes",
        wholeNumber("bytes", 1_024L..(16 * MIB)),
        "1048576",
        "Maximum body size of a request or an answer.",
        "bytes"
    )
    val maxConnections = Key(
        "http",
        "max_connections",
        wholeNumber("connections", 1L..1_000_000L),
        "4096",
        "Maximum number of open connections; further ones are refused."
    )
    val idleTimeoutMs = milliseconds(
        "http",
        "idle_timeout_ms",
        "60000",
        "Time without a request after which a connection is closed."
    )

    val peerAddress = Key(
        "peer",
        "address",
        ipAddress,
        "127.0.0.1",
        "Listen address for the other processes of the system."
    )
    val peerPort = Key("peer", "port", port, "7401", "Port for the other processes of the system.")
    val clusterId = Key(
        "peer",
        "cluster_id",
        idText,
        "local",
        "Name of the cell; processes of another cell are refused."
    )
    val clusterKeyFile = Key(
        "peer",
        "cluster_key_file",
        path,
        null,
        "File with the shared secret of the cell; optional for one process on loopback."
    )
    val maxFrameBytes = Key(
        "peer",
        "max_frame_bytes",
        wholeNumber("bytes", 65_536L..(64 * MIB)),
        "4194304",
        "Maximum message size between processes; greater than max_body_bytes.",
        "bytes"
    )

    val dataFolder = Key(
        "control",
        "data_folder",
        path,
        null,
        "Folder for the log, the snapshots and the records; required with the control role."
    )
    val replicas = Key(
        "control",
        "replicas",
        commaSeparated(hostAddress),
        "",
        "All control replicas of the cell, the same on every host: 1, 3 or 5."
    )
    val electionTimeoutMs = milliseconds(
        "control",
        "election_timeout_ms",
        "1000",
        "Minimum silence of the leader before an election; the maximum is twice as long."
    )
    val heartbeatMs =
        milliseconds("control", "heartbeat_ms", "150", "Interval of the leader's heartbeats.")
    val snapshotEveryEntries = Key(
        "control",
        "snapshot_every_entries",
        wholeNumber("log entries", 100L..10_000_000L),
        "50000",
        "Log entries between two snapshots."
    )
    val dedupWindowH = Key(
        "control",
        "dedup_window_h",
        wholeNumber("hours", 1L..720L),
        "24",
        "How long a resend of an ended work item gets the first answer.",
        "hours"
    )

    val entryControl = Key(
        "entry",
        "control",
        commaSeparated(hostAddress),
        "",
        "Control hosts that the entry role connects to; if empty, those in [control] replicas."
    )
    val drainGraceMs = milliseconds(
        "entry",
        "drain_grace_ms",
        "1000",
        "Time from reporting not ready to refusing new work, for the load balancer to react."
    )
    val drainTimeoutMs = milliseconds(
        "entry",
        "drain_timeout_ms",
        "60000",
        "Maximum wait for requests in flight when the process stops."
    )

    val leaseMs = milliseconds(
        "worker",
        "lease_ms",
        "10000",
        "How long a worker may run its tasks after its last announcement."
    )
    val leaseMarginMs = milliseconds(
        "worker",
        "lease_margin_ms",
        "2000",
        "Wait after the end of a lease before the worker's tasks are placed elsewhere."
    )
    val pollMs =
        milliseconds("worker", "poll_ms", "1000", "Maximum long-poll time of a worker.")

    val authMode = Key(
        "auth",
        "mode",
        oneOf(AuthMode.entries),
        "none",
        "token: bearer tokens; none: no authentication, on loopback addresses only."
    )
    val operatorTokenHashes = Key(
        "auth",
        "operator_token_hashes",
        commaSeparated(tokenHash),
        "",
        "Salted hashes of the tokens that operators use."
    )
    val memberTokenHashes = Key(
        "auth",
        "member_token_hashes",
        commaSeparated(tokenHash),
        "",
        "Salted hashes of the tokens that endpoints and workers use."
    )

    val logFormat =
        Key("log", "format", oneOf(LogFormat.entries), "json", "Format of the log lines.")
    val logLevel = Key("log", "level", oneOf(LogLevel.entries), "info", "Lowest logged level.")

    val all: List<Key<*>> = listOf(
        hostId, failureDomain, roles,
        httpAddress, httpPort, maxBodyBytes, maxConnections, idleTimeoutMs,
        peerAddress, peerPort, clusterId, clusterKeyFile, maxFrameBytes,
        dataFolder, replicas, electionTimeoutMs, heartbeatMs, snapshotEveryEntries, dedupWindowH,
        entryControl, drainGraceMs, drainTimeoutMs,
        leaseMs, leaseMarginMs, pollMs,
        authMode, operatorTokenHashes, memberTokenHashes,
        logFormat, logLevel
    )

    val sections: List<String> = all.map { it.section }.distinct()

    private fun milliseconds(section: String, name: String, default: String, description: String) =
        Key(
            section,
            name,
            wholeNumber("milliseconds", 1L..MAX_MS),
            default,
            description,
            "milliseconds"
        )
}
