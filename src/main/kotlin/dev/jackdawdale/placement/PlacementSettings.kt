package dev.jackdawdale.placement

/**
 * Limits of the placement policy.
 *
 * @property maxPreemptions times that one task may be preempted
 * @property reserveAfterMs wait after which a large task without room gets a reservation; gangs get
 * one at once
 * @property maxReservations reservations at which no more are added, except for preemptions
 * @property maxReservedShare share of the cell that several reservations may hold together; eight
 * gangs that reserved the whole cell waited for each other and left a third of the processors idle
 * @property probeAfterMs delay from a worker's quarantine to its first probe; doubled with each
 * failed probe up to [maxProbeAfterMs]
 * @property maxSizeClasses size classes of one customer and urgency that one pass considers
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
