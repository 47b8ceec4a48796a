package dev.jackdawdale.control

/**
 * Settings of the control loop.
 *
 * @property tickMs interval of time-driven decisions
 * @property leaseMs how long a worker may run tasks after a poll
 * @property leaseMarginMs how long after the lease the tasks of a silent worker are placed again
 * @property dedupWindowMs how long a resend of ended work or of an applied change is recognised
 * @property dispatchValidMs an entry host sends a dispatch within this time of its receipt, or
 *     never; bounds how long a leaving endpoint can still get new work
 * @property configurationValidMs how long an entry host admits work after a configuration message
 * @property quorumFreshMs a leader that heard no quorum for this long sends no configuration
 * @property sessionTimeoutMs silence after which an entry host counts as lost
 * @property endpointTimeoutMs silence after which an endpoint gets no new work
 * @property maxInputsPerPass inputs decided together and synced in one log entry
 * @property maxBatchesInFlight proposed log entries that wait for their commit; further inputs
 *     wait and join the next entry
 * @property confirmEveryMs shortest time between two questions to the quorum whether this replica
 *     still leads; answers that change nothing share one
 * @property maxPlacementsPerPass placements decided in one pass, so that a pass stays short
 */
internal data class ControlSettings(
    val tickMs: Long = 100,
    val leaseMs: Long = 10_000,
    val leaseMarginMs: Long = 2_000,
    val dedupWindowMs: Long = 86_400_000,
    val maxPollMs: Long = 1_000,
    val dispatchValidMs: Long = 1_000,
    val configurationValidMs: Long = 2_000,
    val quorumFreshMs: Long = 1_000,
    val configurationIntervalMs: Long = 500,
    val sessionTimeoutMs: Long = 3_000,
    val endpointTimeoutMs: Long = 3_000,
    val maxInputsPerPass: Int = 2_000,
    val maxBatchesInFlight: Int = 4,
    val maxPlacementsPerPass: Int = 1_000,
    val confirmEveryMs: Long = 0
)
