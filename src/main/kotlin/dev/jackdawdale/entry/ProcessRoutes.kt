package dev.jackdawdale.entry

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.Serializable

private const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

/** Response of the readiness and liveness checks. */
@Serializable
private data class HealthJson(val ok: Boolean, val reason: String?)

/**
 * The routes that every process serves.
 *
 * @param notReadyReason the reason why the process is not ready for work, or null when it is
 * @param timeline this process's events as JSON, filtered by subject unless it is null
 */
internal fun processRoutes(
    registry: PrometheusMeterRegistry,
    notReadyReason: () -> String?,
    timeline: (subject: String?) -> String
): List<Route> = listOf(
    Route("GET", "/ready", Access.ANYONE) { healthResult(notReadyReason()) },
    Route("GET", "/live", Access.ANYONE) { healthResult(null) },
    metricsRoute(registry),
    Route("GET", "/v1/timeline", Access.OPERATOR) { call ->
        call.allowQuery("subject")
        val events = timeline(call.queryText("subject"))
        HttpResult(200, JSON_TYPE, events.encodeToByteArray())
    }
)

/** Exposes the metrics of [registry] in the Prometheus text format. */
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
