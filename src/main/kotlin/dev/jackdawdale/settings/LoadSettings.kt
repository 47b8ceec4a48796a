package dev.jackdawdale.settings

import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import java.nio.file.Path

/**
 * Loads and checks the settings file [path]. Relative paths in it are relative to its folder.
 *
 * Example: `loadSettings(Path.of("samples/paneveli-6-hosts/kochi-1.ini"))`.
 */
internal fun loadSettings(path: Path): SettingsResult {
    val (file, unreadable) = readSettingsFile(path)
    if (unreadable != null) return SettingsResult.Rejected(listOf(unreadable))
    return checkSettings(file, path.toAbsolutePath().parent)
}

/** The settings of a single embedded process: both roles on loopback, one replica. */
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
    val reader = SettingsReader(file, folder)
    val entryErrors = unknownEntries(file) + repeatedEntries(file)
    val settings = reader.settings()
    val errors = entryErrors + reader.errors
    if (errors.isNotEmpty()) return rejected(errors)
    val conflicts = conflicts(settings, file)
    return if (conflicts.isEmpty()) SettingsResult.Loaded(settings) else rejected(conflicts)
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

private class SettingsReader(private val file: SettingsFile, private val folder: Path?) {
    val errors = mutableListOf<SettingsError>()

    fun settings(): Settings {
        val replicas = valueOr(Keys.replicas, emptyList())
        val control = valueOr(Keys.entryControl, emptyList())
        return Settings(
            host = HostSettings(
                HostId(valueOr(Keys.hostId, "")),
                FailureDomain(valueOr(Keys.failureDomain, "")),
                valueOr(Keys.roles, emptyList()).toSet()
            ),
            http = http(),
            peer = peer(),
            control = control(replicas),
            entry = EntrySettings(
                control.ifEmpty { replicas },
                valueOr(Keys.drainGraceMs, 0),
                valueOr(Keys.drainTimeoutMs, 0)
            ),
            worker = WorkerSettings(
                valueOr(Keys.leaseMs, 0),
                valueOr(Keys.leaseMarginMs, 0),
                valueOr(Keys.pollMs, 0)
            ),
            auth = AuthSettings(
                valueOr(Keys.authMode, AuthMode.NONE),
                valueOr(Keys.operatorTokenHashes, emptyList()),
                valueOr(Keys.memberTokenHashes, emptyList())
            ),
            log = LogSettings(
                valueOr(Keys.logFormat, LogFormat.JSON),
                valueOr(Keys.logLevel, LogLevel.INFO)
            )
        )
    }

    private fun http() = HttpSettings(
        valueOr(Keys.httpAddress, ""),
        valueOr(Keys.httpPort, 0).toInt(),
        valueOr(Keys.maxBodyBytes, 0).toInt(),
        valueOr(Keys.maxConnections, 0).toInt(),
        valueOr(Keys.idleTimeoutMs, 0)
    )

    private fun peer() = PeerSettings(
        valueOr(Keys.peerAddress, ""),
        valueOr(Keys.peerPort, 0).toInt(),
        valueOr(Keys.clusterId, ""),
        valueOrNull(Keys.clusterKeyFile)?.let(::inFolder),
        valueOr(Keys.maxFrameBytes, 0).toInt()
    )

    private fun control(replicas: List<HostAddress>) = ControlSettings(
        valueOrNull(Keys.dataFolder)?.let(::inFolder),
        replicas,
        valueOr(Keys.electionTimeoutMs, 0),
        valueOr(Keys.heartbeatMs, 0),
        valueOr(Keys.snapshotEveryEntries, 0),
        valueOr(Keys.dedupWindowH, 0).toInt()
    )

    private fun inFolder(path: Path): Path = folder?.resolve(path)?.normalize() ?: path

    // No process uses the fallback, because any error here rejects the file.
    private fun <T> valueOr(key: Key<T>, fallback: T): T = valueOrNull(key) ?: fallback

    private fun <T> valueOrNull(key: Key<T>): T? {
        val entry = file.find(key.section, key.name)
        val text = entry?.value ?: key.default ?: return null
        return when (val parsed = key.type.parse(text)) {
            is Parsed.Valid -> parsed.value
            Parsed.Invalid -> {
                errors += SettingsError.InvalidValue(
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
                errors += SettingsError.UnexpectedUnit(
                    file.name,
                    entry?.line,
                    key.section,
                    key.name,
                    text,
                    expectedInKeyUnit(key, parsed)
                )
                null
            }
        }
    }
}

private val msPerUnit = mapOf("ms" to 1L, "s" to 1_000L, "m" to 60_000L, "min" to 60_000L)
private val bytesPerUnit = mapOf("k" to 1_024L, "kib" to 1_024L, "m" to 1_048_576L)
    .plus(mapOf("mib" to 1_048_576L, "b" to 1L))

/** The expected value, with the given one converted to the key's unit if its unit is known. */
private fun expectedInKeyUnit(key: Key<*>, parsed: Parsed.WithUnit): String {
    val factors = when (key.unit) {
        "milliseconds" -> msPerUnit
        "bytes" -> bytesPerUnit
        else -> emptyMap()
    }
    val factor = factors[parsed.unit.lowercase()] ?: return key.type.expected
    return "${key.type.expected}; write ${parsed.number * factor}"
}
