package dev.jackdawdale.push

import dev.jackdawdale.model.Resources

/** Room that is expected to become free on a worker at [atMs], as a run ends. */
internal data class ExpectedEnd(val atMs: Long, val reserved: Resources)

/** The runs on the worker by when they are expected to end. */
internal fun WorkerLink.expectedEnds(nowMs: Long): List<ExpectedEnd> =
    held.values.map { ExpectedEnd(it.expectedEndMs(nowMs), it.reserved) }.sortedBy { it.atMs }

/**
 * When the run is expected to end: by its progress, or by the declared time until that is known.
 *
 * Declared times are off by half, so a reservation by them alone would keep room idle.
 */
internal fun HeldRun.expectedEndMs(nowMs: Long): Long {
    val beganMs = (start as? StartState.Confirmed)?.atMs ?: placement.placedAtMs
    val isKnown = !resumed && percent >= PACE_KNOWN_PERCENT
    val endMs = when {
        stopRequested -> nowMs + STOP_MS
        isKnown -> beganMs + (progressMs - beganMs) * WHOLE_PERCENT / percent
        else -> beganMs + if (estimatedMs > 0) estimatedMs else DEFAULT_ESTIMATE_MS
    }
    return maxOf(endMs, nowMs + (nowMs - beganMs) / OVERDUE_DIVISOR)
}

/** Below this the rounding of the listed percentage is a large part of it. */
private const val PACE_KNOWN_PERCENT = 5
private const val WHOLE_PERCENT = 100

/** A stop, its report and the commit of the end. */
private const val STOP_MS = 200L

/** A run beyond its expected end goes on for this part of its time so far: it is soon over. */
private const val OVERDUE_DIVISOR = 16
