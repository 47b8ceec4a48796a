package dev.jackdawdale.testing

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Hosts, links and settings of a [TestCell].
 *
 * @property controls control hosts `c1`, `c2`, ...: 1, 3 or 5
 * @property entries entry hosts `e1`, `e2`, ... without the control role
 * @property controlsAreEntries whether control hosts have the entry role as well
 * @property proxied whether each link between processes has its own [FaultProxy]
 * @property settings additional lines for every INI file, by section, such as
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

/** Creates the hosts of the cell, each with free ports on loopback. */
internal fun CellPlan.hosts(): List<HostPorts> {
    val ids = (1..controls).map { "c$it" to true } + (1..entries).map { "e$it" to false }
    val ports = freePorts(ids.size * 2)
    return ids.mapIndexed { index, (id, isControl) ->
        HostPorts(id, isControl, ports[2 * index], ports[2 * index + 1])
    }
}

/**
 * Finds free ports on loopback; each is held open until the last one is found, so that all differ.
 *
 * They lie below the kernel's ephemeral range: outgoing connections took ports of that range
 * between this check and the start of the process.
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

// Each JVM starts at a different port, so that concurrent test runs rarely collide.
private val nextPort = AtomicInteger((ProcessHandle.current().pid() * 101 % PORT_COUNT).toInt())

private fun listenOrNull(port: Int): ServerSocket? = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress())
} catch (_: IOException) {
    null
}

/**
 * Returns the INI file of [host]. [peerPort] gives the port at which [host] reaches another control
 * host; when links are proxied, that is the port of the proxy.
 */
internal fun CellPlan.ini(
    host: HostPorts,
    all: List<HostPorts>,
    peerPort: (HostPorts) -> Int
): String {
    val controlHosts = all.filter { it.isControl }
    val controlAddresses = controlHosts.joinToString(", ") { other ->
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
            listOf("data_folder = data-${host.id}", "replicas = $controlAddresses")
        } else {
            emptyList()
        },
        "entry" to if (host.isControl) emptyList() else listOf("control = $controlAddresses"),
        "log" to listOf("format = text")
    )
    return (sections.keys + settings.keys).joinToString("\n") { section ->
        val lines = sections[section].orEmpty() + settings[section].orEmpty()
        if (lines.isEmpty()) "" else "[$section]\n" + lines.joinToString("\n") + "\n"
    }
}
