package dev.jackdawdale.placement

import dev.jackdawdale.model.TaskId

/**
 * The trial of a quarantined worker with one task at a time.
 *
 * @property nextAtMs earliest time of the next probe
 * @property taskId the probe that is placed, or null
 * @property failed failed probes so far
 */
internal data class Probe(
    val nextAtMs: Long,
    val taskId: TaskId? = null,
    val atMs: Long = 0,
    val failed: Int = 0
)

private const val MAX_DOUBLINGS = 10

internal fun Probe.ended(hasFailed: Boolean, nowMs: Long, settings: PlacementSettings): Probe {
    val failures = if (hasFailed) failed + 1 else failed
    val pauseMs = settings.probeAfterMs shl minOf(failures, MAX_DOUBLINGS)
    return Probe(nowMs + minOf(pauseMs, settings.maxProbeAfterMs), null, 0, failures)
}
