package dev.jackdawdale.routing

import dev.jackdawdale.model.EndpointId

private const val MAX_DOUBLINGS = 20

private fun RoutingSettings.backoffMs(failures: Int): Long =
    minOf(backoffBaseMs shl minOf(failures - 1, MAX_DOUBLINGS), backoffMaxMs)

/**
 * Records the failure of an attempt placed at [placedAtMs]. Ignores attempts placed before the last
 * failure, because a crashed process breaks all its connections at once.
 */
internal fun EndpointPool.failed(
    endpointId: EndpointId,
    placedAtMs: Long,
    nowMs: Long,
    settings: RoutingSettings
): EndpointPool {
    val load = loads[endpointId] ?: return this
    if (load.failures > 0 && placedAtMs <= load.lastFailureMs) return this
    val failures = load.failures + 1
    val suspect = load.copy(
        failures = failures,
        lastFailureMs = nowMs,
        retryAtMs = nowMs + settings.backoffMs(failures),
        probing = false
    )
    return withLoad(endpointId, suspect)
}

/** Marks the endpoint as healthy after a complete answer. */
internal fun EndpointPool.answered(endpointId: EndpointId): EndpointPool {
    val load = loads[endpointId] ?: return this
    if (load.failures == 0) return this
    return withLoad(endpointId, load.copy(failures = 0, probing = false))
}

/** Records a placement on the endpoint; on a suspect endpoint it becomes the probe. */
internal fun EndpointPool.used(
    endpointId: EndpointId,
    token: Long,
    nowMs: Long,
    settings: RoutingSettings
): EndpointPool {
    val load = loads[endpointId] ?: return this
    val used = load.copy(lastUsed = token)
    if (load.failures == 0) return withLoad(endpointId, used)
    val windowMs = maxOf(settings.backoffMs(load.failures), settings.probeWindowMs)
    return withLoad(endpointId, used.copy(probing = true, retryAtMs = nowMs + windowMs))
}

/** Marks as healthy the endpoints whose probe did not fail within its window. */
internal fun EndpointPool.probesPassed(nowMs: Long): EndpointPool {
    var pool = this
    while (true) {
        val first = pool.probing.firstOrNull() ?: return pool
        if (first.retryAtMs > nowMs) return pool
        pool = pool.answered(first.endpointId)
    }
}

/**
 * Selects the endpoint for a request, or null if none can take it now. Short idempotent requests
 * probe suspect endpoints, because a failed probe costs them least; other requests use a suspect
 * one only if no healthy one is free.
 */
internal fun EndpointPool.choose(
    size: SizeClass,
    idempotent: Boolean,
    failedOn: Set<EndpointId>,
    nowMs: Long
): EndpointId? {
    // If the request failed on every active endpoint, there is none left to prefer.
    val avoided =
        if (failedOn.count { loads[it]?.active == true } < activeCount) failedOn else setOf()
    val probe = suspects.firstOrNull()
        ?.takeIf { it.retryAtMs <= nowMs && it.endpointId !in avoided }
        ?.endpointId
        ?.takeIf { id -> loads[id].let { it != null && it.free > 0 } }
    if (probe != null && idempotent && size == SizeClass.SHORT) return probe
    val candidates = if (size == SizeClass.LONG) freeForLong else free
    val healthy = candidates.firstOrNull { it.endpointId !in avoided }?.endpointId
    return healthy ?: probe
}
