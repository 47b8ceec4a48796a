package dev.jackdawdale.model

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable

/** Whether an endpoint gets new requests. */
@Serializable
enum class EndpointPhase { ACTIVE, DRAINING, STOPPED, GONE }

/**
 * What an endpoint announced about itself.
 *
 * @property incarnation rises each time the endpoint process starts
 * @property address IP address of its HTTP server
 * @property slots number of requests that it serves at the same time
 * @property connections number of connections that it accepts from all entry hosts together
 */
@Serializable
data class EndpointInfo(
    val endpointId: EndpointId,
    val incarnation: Long,
    val service: ServiceName,
    val address: String,
    val port: Int,
    val slots: Int,
    val connections: Int,
    val failureDomain: FailureDomain
)

/**
 * The slot of an attempt without a complete answer: the endpoint may still be running it.
 *
 * @property sinceMs when the attempt was abandoned
 * @property untilMs deadline of the request, after which the endpoint no longer runs it
 */
@Serializable
data class AbandonedSlot(val sinceMs: Long, val untilMs: Long)

/**
 * An endpoint in the replicated state.
 *
 * @property inFlight requests that occupy one of its slots
 * @property abandoned attempts that were abandoned and may still occupy a slot
 */
data class Endpoint(
    val info: EndpointInfo,
    val phase: EndpointPhase = EndpointPhase.ACTIVE,
    val inFlight: PersistentSet<WorkId> = persistentHashSetOf(),
    val abandoned: PersistentMap<FencingToken, AbandonedSlot> = persistentHashMapOf()
)

/** Slots that are in use or may still be in use. */
val Endpoint.heldSlots: Int get() = inFlight.size + abandoned.size

/** Slots that are certainly not in use. */
val Endpoint.freeSlots: Int get() = info.slots - heldSlots

/**
 * An entry host that dispatches requests.
 *
 * @property incarnation rises each time its process starts
 */
@Serializable
data class EntryHost(
    val hostId: HostId,
    val incarnation: Long,
    val failureDomain: FailureDomain,
    val draining: Boolean = false
)
