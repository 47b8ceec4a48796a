package dev.jackdawdale.control

import dev.jackdawdale.model.Endpoint
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.wire.ControlMessage

/** Path on endpoints that serves requests. */
internal const val ENDPOINT_PATH = "/v1/run"

/** The message that makes an entry host send the placed request [work] to [endpoint]. */
internal fun dispatchOf(
    term: Long,
    work: RequestWork,
    endpoint: Endpoint,
    nowMs: Long,
    settings: ControlSettings
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
        deadlineInMs = work.spec.deadlineMs - nowMs
    )
}
