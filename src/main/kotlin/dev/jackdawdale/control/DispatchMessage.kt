package dev.jackdawdale.control

import dev.jackdawdale.model.Endpoint
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.wire.ControlMessage

/** HTTP path to which requests are sent on an endpoint. */
internal const val ENDPOINT_PATH = "/v1/run"

/** The number of idle connections that each entry host may keep open to [endpoint]. */
private fun idleConnections(endpoint: Endpoint, entryHostCount: Int): Int =
    maxOf(0, (endpoint.info.connections - endpoint.info.slots) / maxOf(entryHostCount, 1))

/** The message that asks an entry host to send the placed request [work] to [endpoint]. */
internal fun dispatchOf(
    term: Long,
    work: RequestWork,
    endpoint: Endpoint,
    nowMs: Long,
    settings: ControlSettings,
    entryHostCount: Int
): ControlMessage.Dispatch {
    val placement = checkNotNull(work.placement) { "${work.spec.workId} is not placed" }
    return ControlMessage.Dispatch(
        term = term,
        workId = work.spec.workId,
        token = placement.token,
        endpointId = placement.endpointId,
        address = endpoint.info.address,
        port = endpoint.info.port,
        path = ENDPOINT_PATH,
        kind = work.spec.kind,
        contentType = work.spec.contentType,
        body = work.spec.body,
        validForMs = settings.dispatchValidMs,
        deadlineInMs = work.spec.deadlineMs - nowMs,
        maxIdleConnections = idleConnections(endpoint, entryHostCount)
    )
}
