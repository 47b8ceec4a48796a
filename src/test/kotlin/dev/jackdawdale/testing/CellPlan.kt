package dev.jackdawdale.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * The shape of a [TestCell].
 *
 * @property controls control hosts `c1`, `c2`, ...: 1, 3 or 5
 * @property entries entry hosts `e1`, `e2`, ... without the control role
 * @property controlsAreEntries control hosts hold the entry role as well
 * @property proxied every link between processes goes through a [FaultProxy] of its own
 * @property settings further lines for each INI file, by section, such as
 * `mapOf("worker" to listOf("lease_ms = 3000"))`
 */
internal data class CellPlan(
    val controls: Int = 3,
    val entries: Int = 2,
    val controlsAreEntries: Boolean = false,
    val proxied: Boolean = false,
    val settings: Map<String, List<String>> = emptyMap()
)

/** The ports of one host of a [TestCell]. */
internal data class HostPorts(val id: String, val isControl: Boolean, val http: Int, val peer: Int)

/** The hosts of the cell, each with free ports on loopback. */
internal fun CellPlan.hosts(): List<HostPorts> {
    val ids = (1..controls).map { "c$it" to true } + (1..entries).map { "e$it" to false }
    val ports = freePorts(ids.size * 2)
    return ids.mapIndexed { index, (id, isControl) ->
        HostPorts(id, isControl, ports[2 * index], ports[2 * index + 1])
    }
}

/**
 * Ports that were free a moment ago; all are held until the last one is found.
 *
 * They lie below the range from which the kernel takes ports for outgoing connections. Ports of that
 * range were taken between this check and the start of the process.
 */
internal fun freePorts(count: Int): List<Int> {
    val sockets = generateSequence { nextPort.getAndIncrement() }
        .map { FIRST_PORT + it % PORT_COUNT }
        .mapNotNull(::listenOrNull)
        .take(count)
        .toList()
    return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
}

private const val FIRST_PORT = 10_000
private const val PORT_COUNT = 22_000

// Each JVM starts elsewhere, so that two test runs at the same time seldom meet.
private val nextPort = AtomicInteger((ProcessHandle.current().pid() * 101 % PORT_COUNT).toInt())

private fun listenOrNull(port: Int): ServerSocket? = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress())
} catch (_: IOException) {
    null
}

/**
 * The INI file of [host]. [peerPort] gives the port under which it reaches another control host,
 * which is a proxy's when links are proxied.
 */
internal fun CellPlan.ini(
    host: HostPorts,
    all: List<HostPorts>,
    peerPort: (HostPorts) -> Int
): String {
    val controlHosts = all.filter { it.isControl }
    val list = controlHosts.joinToString(", ") { other ->
        val port = if (other.id == host.id) other.peer else peerPort(other)
        "${other.id}@127.0.0.1:$port"
    }
    val roles = when {
        !host.isControl -> "entry"
        controlsAreEntries -> "entry, control"
        else -> "control"
    }
    val sections = linkedMapOf(
        "host" to listOf(
            "id = ${host.id}",
            "failure_domain = fd-${host.id.drop(1)}",
            "roles = $roles"
        ),
        "http" to listOf("port = ${host.http}"),
        "peer" to listOf(
            "port = ${host.peer}",
            "cluster_id = test",
            "cluster_key_file = cluster.key"
        ),
        "control" to if (host.isControl) {
            listOf("data_folder = data-${host.id}", "replicas = $list")
        } else {
            emptyList()
        },
        "entry" to if (host.isControl) emptyList() else listOf("control = $list"),
        "log" to listOf("format = text")
    )
    return (sections.keys + settings.keys).joinToString("\n") { section ->
        val lines = sections[section].orEmpty() + settings[section].orEmpty()
        if (lines.isEmpty()) "" else "[$section]\n" + lines.joinToString("\n") + "\n"
    }
}
