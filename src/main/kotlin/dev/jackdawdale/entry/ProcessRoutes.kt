package dev.jackdawdale.entry

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.Serializable

private const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

/** Answer of the readiness and liveness calls. */
@Serializable
private data class HealthJson(val ok: Boolean, val reason: String?)

/**
 * The calls that every process serves.
 *
 * @param notReadyBecause why the process is not ready for work, or null when it is
 * @param timeline this process's events as JSON, those of one subject when it is given
 */
internal fun processRoutes(
    registry: PrometheusMeterRegistry,
    notReadyBecause: () -> String?,
    timeline: (subject: String?) -> String
): List<Route> = listOf(
    Route("GET", "/ready", Access.ANYONE) { healthResult(notReadyBecause()) },
    Route("GET", "/live", Access.ANYONE) { healthResult(null) },
    metricsRoute(registry),
    Route("GET", "/v1/timeline", Access.OPERATOR) { call ->
        call.allowQuery("subject")
        val events = timeline(call.queryText("subject"))
        HttpResult(200, JSON_TYPE, events.encodeToByteArray())
    }
)

/** The call that prints the metrics of [registry]. */
internal fun metricsRoute(registry: PrometheusMeterRegistry): Route =
    Route("GET", "/metrics", Access.ANYONE) {
        HttpResult(200, METRICS_TYPE, registry.scrape().encodeToByteArray())
    }

private fun healthResult(reason: String?): HttpResult = jsonResult(
    if (reason ==
        null
    ) {
        200
    } else {
        503
    },
    HealthJson.serializer(),
    HealthJson(reason == null, reason)
)
