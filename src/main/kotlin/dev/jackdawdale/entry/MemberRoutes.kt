package dev.jackdawdale.entry

import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Reply
import io.netty.util.NetUtil
import kotlinx.serialization.Serializable

private const val MAX_PORT = 65_535

/** Wait for the leader in addition to the poll time of an announcement. */
private const val ANNOUNCE_TIMEOUT_MS = 2_000L

/** Body of an endpoint's announcement. */
@Serializable
private data class EndpointJson(
    val incarnation: Long,
    val service: String,
    val address: String,
    val port: Int,
    val slots: Int,
    val connections: Int,
    val failureDomain: String = "",
    val leaving: Boolean = false,
    val running: List<Long>? = null
)

/** Response to an endpoint's announcement. */
@Serializable
private data class PhaseJson(val phase: EndpointPhase)

/** The calls of endpoints and workers. */
internal fun memberRoutes(host: EntryHost): List<Route> = listOf(
    Route("POST", "/v1/endpoints/{id}/announce", Access.MEMBER) { call ->
        val announced = call.decodeBody(EndpointJson.serializer())
        val info = announced.toInfo(EndpointId(call.pathId("id")))
        // Not resent on a later session: by then the endpoint may have announced that it leaves.
        val reply = host.client.call(
            Command.AnnounceEndpoint(
                info,
                announced.leaving,
                announced.running?.map(::FencingToken)
            ),
            ANNOUNCE_TIMEOUT_MS,
            resend = false
        )
        val phase = reply.expect<Reply.EndpointAnnounced>().phase
        jsonResult(200, PhaseJson.serializer(), PhaseJson(phase))
    },
    Route("POST", "/v1/workers/{id}/announce", Access.MEMBER) { call ->
        val announced = call.decodeBody(WorkerJson.serializer())
        val command = announced.toCommand(WorkerId(call.pathId("id")), host.settings.maxPollMs)
        // Not resent: orders may only reach a worker that still waits for this response.
        val reply = host.client.call(
            command,
            command.pollMs + ANNOUNCE_TIMEOUT_MS,
            resend = false
        )
        val orders = reply.expect<Reply.WorkerOrders>()
        jsonResult(200, WorkerOrdersJson.serializer(), orders.toJson())
    }
)

private fun EndpointJson.toInfo(id: EndpointId): EndpointInfo {
    val isAddress = NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address)
    if (!isAddress) throw invalid("address", "must be an IP address")
    if (port !in 1..MAX_PORT) throw invalid("port", "must be from 1 to $MAX_PORT")
    if (connections < slots) throw invalid("connections", "must be at least slots")
    return EndpointInfo(
        endpointId = id,
        incarnation = atLeast(0L, "incarnation", incarnation),
        service = ServiceName(validId("service", service)),
        address = address,
        port = port,
        slots = atLeast(1, "slots", slots),
        connections = connections,
        failureDomain = FailureDomain(validText("failure_domain", failureDomain))
    )
}
