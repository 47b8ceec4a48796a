package dev.jackdawdale.control

/**
 * Settings of the control loop.
 *
 * @property tickMs interval of decisions about timeouts and leases
 * @property leaseMs how long a worker may run tasks after a poll
 * @property leaseMarginMs time after the lease of a silent worker until its tasks are placed again
 * @property dedupWindowMs how long resends of ended work or applied changes are deduplicated
 * @property dispatchValidMs an entry host drops a dispatch that it has not sent this long after
 *     receipt; limits how long a leaving endpoint can still get new work
 * @property configurationValidMs how long an entry host admits work after a configuration message
 * @property quorumFreshMs a leader without quorum contact for this long sends no configuration
 * @property sessionTimeoutMs silence after which an entry host is considered lost
 * @property endpointTimeoutMs silence after which an endpoint gets no new work
 * @property maxInputsPerPass limit of inputs decided in one pass and synced in one log entry
 * @property maxBatchesInFlight limit of log entries proposed but not committed; further inputs stay
 *     queued for the next entry
 * @property confirmEveryMs minimum time between two leadership confirmations by a quorum; replies
 *     without a state change share one
 * @property maxPlacementsPerPass limit of requests, and of tasks, placed in a pass; keeps it short
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
