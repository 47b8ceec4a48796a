package dev.jackdawdale.placement

import dev.jackdawdale.model.TaskId

/**
 * Probe state of a quarantined worker, which gets one task at a time as a probe.
 *
 * @property nextAtMs earliest time of the next probe
 * @property taskId task placed as the current probe, or null
 * @property atMs when that task was placed, or 0
 * @property failed number of failed probes
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
