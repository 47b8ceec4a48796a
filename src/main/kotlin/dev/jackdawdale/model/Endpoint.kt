package dev.jackdawdale.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable

/** Whether an endpoint gets new requests. */
@Serializable
enum class EndpointPhase { ACTIVE, DRAINING, STOPPED, GONE }

/**
 * What an endpoint announced of itself.
 *
 * @property incarnation rises each time the endpoint process starts
 * @property address IP address of its HTTP server
 * @property slots requests it serves at the same time
 * @property connections connections it accepts from all entry hosts together
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
 * An endpoint as the replicated state knows it.
 *
 * @property inFlight requests that hold one of its slots
 */
data class Endpoint(
    val info: EndpointInfo,
    val phase: EndpointPhase = EndpointPhase.ACTIVE,
    val inFlight: PersistentSet<WorkId> = persistentHashSetOf()
)

/** Slots that no request holds. */
val Endpoint.freeSlots: Int get() = info.slots - inFlight.size

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
