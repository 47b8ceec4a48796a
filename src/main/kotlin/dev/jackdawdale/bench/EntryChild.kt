package dev.jackdawdale.bench

import dev.jackdawdale.entry.AuthMode
import dev.jackdawdale.entry.EntrySettings
import dev.jackdawdale.entry.HttpSettings
import dev.jackdawdale.entry.entryHost
import dev.jackdawdale.entry.httpServer
import dev.jackdawdale.entry.processRoutes
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry

private const val READY_POLL_MS = 10L

/**
 * Runs an entry host alone in a process, so that its CPU time and memory can be measured. The
 * argument is the port of the leader. Prints the HTTP port when the host is ready and exits at the
 * end of standard input.
 */
fun main(args: Array<String>) {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val host = entryHost(EntrySettings(), loopbackPeer("h1", args.first().toInt()), registry)
    val settings = HttpSettings(authMode = AuthMode.NONE)
    val routes = host.routes + processRoutes(registry, host::notReadyReason) { "[]" }
    val server = httpServer(settings, routes, host::customerTokens, registry)
    host.start()
    server.start()
    while (host.notReadyReason() != null) Thread.sleep(READY_POLL_MS)
    println(server.port)
    System.`in`.read()
    server.close()
    host.close()
}
