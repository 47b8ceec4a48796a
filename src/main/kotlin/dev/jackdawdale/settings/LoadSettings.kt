package dev.jackdawdale.settings

import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import java.nio.file.Path

/**
 * Loads and checks the settings file [path]. Relative paths in it are taken from its folder.
 *
 * Example: `loadSettings(Path.of("samples/paneveli-6-hosts/kochi-1.ini"))`.
 */
internal fun loadSettings(path: Path): SettingsResult {
    val (file, unreadable) = readSettingsFile(path)
    if (unreadable != null) return SettingsResult.Rejected(listOf(unreadable))
    return checkSettings(file, path.toAbsolutePath().parent)
}

/** The embedded single process: both roles on loopback, one replica. */
internal fun defaultSettings(): Settings {
    val entries = listOf(
        Entry("control", "data_folder", "./jackdawdale-data", null),
        Entry("control", "replicas", "local@127.0.0.1:7401", null),
        Entry("log", "format", "text", null)
    )
    val result = checkSettings(SettingsFile("(defaults)", entries), null)
    check(result is SettingsResult.Loaded) { "the default settings must pass their own checks" }
    return result.settings
}

private fun checkSettings(file: SettingsFile, folder: Path?): SettingsResult {
    val reader = Reader(file, folder)
    val errors = unknownEntries(file) + repeatedEntries(file)
    val settings = reader.settings()
    val faults = errors + reader.errors
    if (faults.isNotEmpty()) return rejected(faults)
    val clashes = clashes(settings, file)
    return if (clashes.isEmpty()) SettingsResult.Loaded(settings) else rejected(clashes)
}

private fun rejected(errors: List<SettingsError>) =
    SettingsResult.Rejected(errors.sortedBy { it.line ?: Int.MAX_VALUE })

private fun unknownEntries(file: SettingsFile): List<SettingsError> =
    file.entries.mapNotNull { entry ->
        val keys = Keys.all.filter { it.section == entry.section }.map { it.name }
        when {
            keys.isEmpty() ->
                SettingsError.UnknownSection(file.name, entry.line, entry.section, Keys.sections)
            entry.key !in keys ->
                SettingsError.UnknownKey(file.name, entry.line, entry.section, entry.key, keys)
            else -> null
        }
    }

private fun repeatedEntries(file: SettingsFile): List<SettingsError> =
    file.entries.groupBy { it.section to it.key }.values.filter { it.size > 1 }
        .map { SettingsError.RepeatedKey(file.name, it[1].line, it[1].section, it[1].key) }

private class Reader(private val file: SettingsFile, private val folder: Path?) {
    val errors = mutableListOf<SettingsError>()

    fun settings(): Settings {
        val replicas = required(Keys.replicas, emptyList())
        val control = required(Keys.entryControl, emptyList())
        return Settings(
            host = HostSettings(
                HostId(required(Keys.hostId, "")),
                FailureDomain(required(Keys.failureDomain, "")),
                required(Keys.roles, emptyList()).toSet()
            ),
            http = http(),
            peer = peer(),
            control = control(replicas),
            entry = EntrySettings(
                control.ifEmpty { replicas },
                required(Keys.drainGraceMs, 0),
                required(Keys.drainTimeoutMs, 0)
            ),
            worker = WorkerSettings(
                required(Keys.leaseMs, 0),
                required(Keys.leaseMarginMs, 0),
                required(Keys.pollMs, 0)
            ),
            auth = AuthSettings(
                required(Keys.authMode, AuthMode.NONE),
                required(Keys.operatorTokenHashes, emptyList()),
                required(Keys.memberTokenHashes, emptyList())
            ),
            log = LogSettings(
                required(Keys.logFormat, LogFormat.JSON),
                required(Keys.logLevel, LogLevel.INFO)
            )
        )
    }

    private fun http() = HttpSettings(
        required(Keys.httpAddress, ""),
        required(Keys.httpPort, 0).toInt(),
        required(Keys.maxBodyBytes, 0).toInt(),
        required(Keys.maxConnections, 0).toInt(),
        required(Keys.idleTimeoutMs, 0)
    )

    private fun peer() = PeerSettings(
        required(Keys.peerAddress, ""),
        required(Keys.peerPort, 0).toInt(),
        required(Keys.clusterId, ""),
        optional(Keys.clusterKeyFile)?.let(::inFolder),
        required(Keys.maxFrameBytes, 0).toInt()
    )

    private fun control(replicas: List<HostAddress>) = ControlSettings(
        optional(Keys.dataFolder)?.let(::inFolder),
        replicas,
        required(Keys.electionTimeoutMs, 0),
        required(Keys.heartbeatMs, 0),
        required(Keys.snapshotEveryEntries, 0),
        required(Keys.dedupWindowH, 0).toInt()
    )

    private fun inFolder(path: Path): Path = folder?.resolve(path)?.normalize() ?: path

    // The fallback is never used by a process: any error here rejects the file.
    private fun <T> required(key: Key<T>, fallback: T): T = optional(key) ?: fallback

    private fun <T> optional(key: Key<T>): T? {
        val entry = file.find(key.section, key.name)
        val text = entry?.value ?: key.default ?: return null
        return when (val parsed = key.type.parse(text)) {
            is Parsed.Good -> parsed.value
            Parsed.Bad -> {
                errors += SettingsError.BadValue(
                    file.name,
                    entry?.line,
                    key.section,
                    key.name,
                    text,
                    key.type.expected
                )
                null
            }
            is Parsed.WithUnit -> {
                errors += SettingsError.BadUnit(
                    file.name,
                    entry?.line,
                    key.section,
                    key.name,
                    text,
                    withoutUnit(key, parsed)
                )
                null
            }
        }
    }
}

private val unitsInMs = mapOf("ms" to 1L, "s" to 1_000L, "m" to 60_000L, "min" to 60_000L)
private val unitsInBytes = mapOf("k" to 1_024L, "kib" to 1_024L, "m" to 1_048_576L)
    .plus(mapOf("mib" to 1_048_576L, "b" to 1L))

/** Says what the value would be in the key's own unit, where the unit written is known. */
private fun withoutUnit(key: Key<*>, parsed: Parsed.WithUnit): String {
    val factors = when (key.unit) {
        "milliseconds" -> unitsInMs
        "bytes" -> unitsInBytes
        else -> emptyMap()
    }
    val factor = factors[parsed.unit.lowercase()] ?: return key.type.expected
    return "${key.type.expected}; write ${parsed.number * factor}"
}
