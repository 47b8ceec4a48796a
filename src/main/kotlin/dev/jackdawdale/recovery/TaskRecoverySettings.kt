package dev.jackdawdale.recovery

/**
 * Limits and times of the recovery of tasks.
 *
 * @property leaseMs how long a worker may run its tasks after its last announcement
 * @property leaseMarginMs added to the lease for clock drift and delays
 * @property startTimeoutMs time after which a worker that does not start a task is asked to drop it
 * @property timeLimitGraceMs added to a task's time limit before the leader stops it
 * @property failedWorkersLimit workers on which a job fails before it ends as unable to run
 * @property taskFailuresLimit failures of one task that end its job too, for cells with few workers
 * @property oversizedMs how long a job larger than any worker waits for a larger worker to join
 * @property stableRunMs run time after which a service or a probe counts as healthy
 * @property suspectFailures consecutive failed tasks after which a worker is suspect
 * @property overuseGraceMs time in which a throttled task must get back to its counted size
 * @property maxLostPerTick tasks released per tick, so that the loss of a failure domain is spread
 * @property maxJobsPerTick changed jobs checked per tick
 * @property maxDrainStopsPerTick service tasks moved off one draining worker per tick
 */
internal data class TaskRecoverySettings(
    val leaseMs: Long = 10_000,
    val leaseMarginMs: Long = 2_000,
    val startTimeoutMs: Long = 30_000,
    val timeLimitGraceMs: Long = 5_000,
    val failedWorkersLimit: Int = 3,
    val taskFailuresLimit: Int = 10,
    val oversizedMs: Long = 60_000,
    val stableRunMs: Long = 60_000,
    val suspectFailures: Int = 3,
    val overuseGraceMs: Long = 5_000,
    val firstBackoffMs: Long = 1_000,
    val maxBackoffMs: Long = 60_000,
    val maxLostPerTick: Int = 200,
    val maxJobsPerTick: Int = 500,
    val maxDrainStopsPerTick: Int = 4,
    val dedupWindowMs: Long = 86_400_000,
    val dedupEveryMs: Long = 60_000
)
