package dev.jackdawdale.routing

import dev.jackdawdale.model.EndpointId

private const val MAX_DOUBLINGS = 20

private fun RoutingSettings.pauseMs(failures: Int): Long =
    minOf(retryBaseMs shl minOf(failures - 1, MAX_DOUBLINGS), retryMaxMs)

/**
 * An attempt that was placed at [placedAtMs] failed on the endpoint. Attempts placed before the
 * last failure say nothing new: one broken process breaks all its connections at once.
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
        retryAtMs = nowMs + settings.pauseMs(failures),
        probing = false
    )
    return withLoad(endpointId, suspect)
}

/** A whole answer came from the endpoint. */
internal fun EndpointPool.answered(endpointId: EndpointId): EndpointPool {
    val load = loads[endpointId] ?: return this
    if (load.failures == 0) return this
    return withLoad(endpointId, load.copy(failures = 0, probing = false))
}

/** A request was placed on the endpoint; on a suspect endpoint it is the probe. */
internal fun EndpointPool.used(
    endpointId: EndpointId,
    token: Long,
    nowMs: Long,
    settings: RoutingSettings
): EndpointPool {
    val load = loads[endpointId] ?: return this
    val used = load.copy(lastUsed = token)
    if (load.failures == 0) return withLoad(endpointId, used)
    val windowMs = maxOf(settings.pauseMs(load.failures), settings.probeWindowMs)
    return withLoad(endpointId, used.copy(probing = true, retryAtMs = nowMs + windowMs))
}

/** Endpoints whose probe did not fail within its window are healthy again. */
internal fun EndpointPool.probesPassed(nowMs: Long): EndpointPool {
    var pool = this
    while (true) {
        val first = pool.probing.firstOrNull() ?: return pool
        if (first.retryAtMs > nowMs) return pool
        pool = pool.answered(first.endpointId)
    }
}

/**
 * The endpoint for a request, or null when none may take it now. Short idempotent requests probe
 * suspect endpoints, because a failed probe costs them least; other requests take a suspect one
 * only when no healthy one is free.
 */
internal fun EndpointPool.choose(
    size: SizeClass,
    idempotent: Boolean,
    failedOn: Set<EndpointId>,
    nowMs: Long
): EndpointId? {
    // With every active endpoint in failedOn there is no other one to go to.
    val avoided = if (failedOn.count { loads[it]?.active == true } < active) failedOn else setOf()
    val probe = suspects.firstOrNull()
        ?.takeIf { it.retryAtMs <= nowMs && it.endpointId !in avoided }
        ?.endpointId
        ?.takeIf { id -> loads[id].let { it != null && it.free > 0 } }
    if (probe != null && idempotent && size == SizeClass.SHORT) return probe
    val candidates = if (size == SizeClass.LONG) freeForLong else free
    val healthy = candidates.firstOrNull { it.endpointId !in avoided }?.endpointId
    return healthy ?: probe
}
