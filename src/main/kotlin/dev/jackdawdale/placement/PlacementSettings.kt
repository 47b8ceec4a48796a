package dev.jackdawdale.placement

/**
 * Limits of the placement policy.
 *
 * @property maxPreemptions times that one task may be stopped for other work
 * @property reserveAfterMs wait after which a large task without room gets a reservation; gangs get
 * one at once
 * @property maxReservations reservations that exist at the same time, preemptions not counted
 * @property maxReservedShare part of the cell that several reservations may keep together; eight
 * gangs that reserved all of it waited for each other, with a third of the processors idle
 * @property probeAfterMs pause between a worker's quarantine and its first probe; doubled with
 * each failed probe up to [maxProbeAfterMs]
 * @property maxSizeClasses size classes of one customer and urgency that one pass looks at
 * @property maxPreemptionWorkers workers compared for one preemption
 */
internal data class PlacementSettings(
    val maxPreemptions: Int = 3,
    val reserveAfterMs: Long = 30_000,
    val maxReservations: Int = 8,
    val maxReservedShare: Double = 0.25,
    val probeAfterMs: Long = 30_000,
    val maxProbeAfterMs: Long = 600_000,
    val maxSizeClasses: Int = 64,
    val maxPreemptionWorkers: Int = 64
)
