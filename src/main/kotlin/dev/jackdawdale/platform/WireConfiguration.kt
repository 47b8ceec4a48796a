package dev.jackdawdale.platform

import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.QueueSpec
import kotlinx.serialization.json.JsonObject

/**
 * Decodes an operator's configuration and checks it as a whole.
 *
 * Throws [MalformedBody] when it is incomplete or malformed, when a route names an unknown service,
 * when two routes share host and prefix, when a timeout is 0, or when two customers share a key.
 *
 * @param hasCustomers whether the installation has customers even if the document lists none
 */
internal fun decodeConfiguration(
    bytes: ByteArray,
    hasCustomers: Boolean = false
): QueueConfiguration {
    val fields = wireObject(bytes)
    val version = fields.long("version")
    val services = fields.array("services").map { serviceName(it.asObject("services")) }
    val queues = fields.array("routes").map { queue(it.asObject("routes")) }
    for (queue in queues) {
        if (queue.service !in services) {
            throw MalformedBody("route ${queue.name} names the unknown service ${queue.service}")
        }
        if (queue.timeoutMs <= 0) throw MalformedBody("route ${queue.name} has no timeout")
    }
    queues.groupBy { it.host to it.pathPrefix }.values.find { it.size > 1 }?.let {
        throw MalformedBody("routes ${it[0].name} and ${it[1].name} share host and prefix")
    }
    fields.objectOrNull("limits")?.let(::checkLimits)
    val customers = customers(fields, version)
    return QueueConfiguration(
        version,
        bytes.decodeToString(),
        queues,
        services,
        customers.takeIf { hasCustomers || fields.listsCustomers }
    )
}

/** Times of jobs multiplied by it still fit into 64 bits. */
private const val MAX_STRETCH = 1_000.0

/** Checks also the fields of a service that no queue needs: an operator reads them back. */
private fun serviceName(fields: JsonObject): String {
    for (name in listOf("healthPath", "protocol")) fields.textOrNull(name)
    for (name in listOf("tls", "rejectsOverload", "standby")) fields.flag(name)
    fields.intOrNull("maxConnections")
    return fields.nameText("name")
}

private fun checkLimits(fields: JsonObject) {
    for (name in listOf("maxHeaderBytes", "maxBodyBytes")) fields.longOrNull(name)
    for (name in listOf("headerTimeoutMs", "idleTimeoutMs")) fields.durationMsOrNull(name)
}

/** Checks also the fields that nothing uses: an operator reads them back. */
private fun queue(fields: JsonObject): QueueSpec {
    fields.textOrNull("type")
    fields.checkNumber("weight")
    return queueSpec(fields)
}

private fun queueSpec(fields: JsonObject) = QueueSpec(
    name = fields.nameText("name"),
    host = fields.text("host"),
    pathPrefix = fields.text("pathPrefix"),
    service = fields.text("service"),
    priority = fields.intOrNull("priority") ?: 0,
    maxAttempts = fields.intOrNull("maxAttempts")?.coerceAtLeast(1) ?: 1,
    stretch = fields.doubleOrNull("stretch", MAX_STRETCH) ?: 1.0,
    targetLatencyMs = fields.durationMsOrNull("targetLatencyMs") ?: 0,
    timeoutMs = fields.durationMsOrNull("timeoutMs") ?: 0,
    advice = fields.objectOrNull("advice")?.let {
        AdviceTerms(
            decisionMs = it.doubleOrNull("decisionMs") ?: 0.0,
            perWorkerMs = it.doubleOrNull("perWorkerMs") ?: 0.0,
            validMs = it.durationMsOrNull("validityMs") ?: 0
        )
    },
    isPublic = fields.flag("public")
)
