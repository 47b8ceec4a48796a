package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/**
 * A short request to a service, as the caller submitted it.
 *
 * @property kind label that groups requests with similar run times
 * @property declaredRunTimeMs the caller's estimate, or null
 * @property deadlineMs when the caller stops waiting; leader's clock, milliseconds since the epoch
 */
@Serializable
data class RequestSpec(
    val workId: WorkId,
    val customerId: CustomerId,
    val service: ServiceName,
    val idempotent: Boolean,
    val kind: String = "",
    val declaredRunTimeMs: Long? = null,
    val urgency: Urgency = Urgency.NORMAL,
    val deadlineMs: Long,
    val contentType: String = "application/octet-stream",
    val body: Blob = emptyBlob
)

/** The endpoint and the entry host of one attempt of a request. */
@Serializable
data class RequestPlacement(
    val endpointId: EndpointId,
    val endpointIncarnation: Long,
    val entryHostId: HostId,
    val entryIncarnation: Long,
    val token: FencingToken,
    val placedAtMs: Long,
    val expiresAtMs: Long
)

/**
 * A request that has not ended. It waits while [placement] is null.
 *
 * @property attempts placements that may have reached an endpoint, the current one included
 * @property notBeforeMs earliest time of the next attempt (retry back-off)
 * @property failedOn endpoints on which an attempt failed
 * @property entryHostId the entry host where the caller waits
 */
@Serializable
data class RequestWork(
    val spec: RequestSpec,
    val contractVersion: Long,
    val acceptedAtMs: Long,
    val entryHostId: HostId,
    val placement: RequestPlacement? = null,
    val attempts: Int = 0,
    val notBeforeMs: Long = 0,
    val failedOn: Set<EndpointId> = emptySet(),
    val cancelRequested: Boolean = false
)

/**
 * The complete answer of an endpoint.
 *
 * @property status HTTP status code
 */
@Serializable
data class Answer(val status: Int, val contentType: String, val body: Blob)
