package dev.jackdawdale.platform

import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.json.JsonObject

/** The environment variable that holds the path of the settings file. */
internal const val SETTINGS_VARIABLE = "JACKDAWDALE_BOOT"

/** An `ip:port` pair of the settings. */
internal data class Address(val ip: String, val port: Int) {
    override fun toString(): String = "$ip:$port"
}

/**
 * The settings that the platform gives to a process.
 *
 * @property hostIp address of this machine, which is also the host id
 * @property peerPort port for connections between the system's processes, the same everywhere
 * @property seeds control hosts that the process knows at start, with their operators' port
 * @property firstStart whether the whole system starts for the first time, with empty disks
 * @property callers address for callers, or null
 * @property readiness address for the load balancer's readiness checks, or null
 * @property operators address for operators and workers, or null
 * @property metrics address of a control host's metrics, or null; on the last internal port, as
 *   `metrics` in deploy/system.toml says
 * @property adviser address of the adviser, or null
 * @property toleratedLosses number of machines with a disk that may be lost at the same time
 * @property hasCustomers calls need customers' keys even while a configuration lists no customers
 * @property rateWindowMs span over which a customer's jobs are counted against its rate, or null
 * @property maxLeaseMs longest lease that a worker grants, or null
 * @property remoteFactor multiple of its run time that a task takes away from its data or its gang
 */
internal data class PlatformSettings(
    val hostName: String,
    val hostIp: String,
    val failureDomain: String,
    val peerPort: Int,
    val seeds: List<Address>,
    val firstStart: Boolean,
    val dataFolder: Path?,
    val callers: Address?,
    val readiness: Address?,
    val operators: Address?,
    val metrics: Address?,
    val adviser: String?,
    val toleratedLosses: Int,
    val gracePeriodMs: Long,
    val hasCustomers: Boolean = false,
    val remoteFactor: Double = 1.0,
    val rateWindowMs: Long? = null,
    val maxLeaseMs: Long? = null
)

/** Reads the settings file. Throws [MalformedBody] when a field is missing or malformed. */
internal fun readPlatformSettings(file: Path): PlatformSettings =
    platformSettings(wireObject(Files.readAllBytes(file)))

internal fun platformSettings(fields: JsonObject): PlatformSettings {
    val listen = fields.objectOrNull("listen") ?: JsonObject(emptyMap())
    val hostIp = fields.text("ip")
    val ports = fields.array("internalPortRange").map { port(it.asInt("internalPortRange")) }
    if (ports.isEmpty()) throw MalformedBody("internalPortRange is empty")
    val operators = listen.textOrNull("control")?.let(::address)
    return PlatformSettings(
        hostName = fields.text("nodeName"),
        hostIp = hostIp,
        failureDomain = fields.text("zone"),
        peerPort = ports.first(),
        seeds = fields.array("seeds").map { address(it.asText("seeds")) },
        firstStart = fields.flag("bootstrap"),
        dataFolder = fields.textOrNull("dataDir")?.takeIf { it.isNotEmpty() }?.let(Path::of),
        callers = listen.textOrNull("front")?.let(::address),
        readiness = listen.textOrNull("ready")?.let(::address),
        operators = operators,
        metrics = operators?.let { Address(hostIp, ports.last()) }
            ?.takeIf { it.port != ports.first() },
        adviser = fields.textOrNull("advice"),
        toleratedLosses = fields.objectOrNull("faultTolerance")?.intOrNull("machines")
            ?: 0,
        rateWindowMs = fields.objectOrNull("bounds")?.doubleOrNull("quotaWindowS")
            ?.let { (it * MS_PER_S).toLong() },
        maxLeaseMs = fields.objectOrNull("bounds")?.doubleOrNull("maxHoldMs")?.toLong()
            ?.takeIf { it > 0 },
        remoteFactor = fields.objectOrNull("bounds")?.doubleOrNull("remoteFactor")
            ?.takeIf { it.isFinite() && it > 1 } ?: 1.0,
        gracePeriodMs = fields.objectOrNull("bounds")?.doubleOrNull("graceS")
            ?.let { (it * MS_PER_S).toLong() } ?: DEFAULT_GRACE_MS,
        hasCustomers = fields.listOrEmpty("contracts").map { it.asText("contracts") }
            .let(::namesCustomers)
    )
}

private fun address(text: String): Address {
    val port = text.substringAfterLast(':').toIntOrNull()
        ?: throw MalformedBody("$text is not an address")
    return Address(text.substringBeforeLast(':'), port(port))
}

private fun port(number: Int): Int =
    if (number in PORTS) number else throw MalformedBody("$number is not a port")

private val PORTS = 1..65_535

private const val MS_PER_S = 1_000.0
private const val DEFAULT_GRACE_MS = 6_000L
