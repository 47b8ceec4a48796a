package dev.jackdawdale.push

/**
 * Times and limits of the push of orders to workers.
 *
 * @property leaseMs how long a worker may run on after a report; leaves time for a new leader
 * @property clockDriftShare how much slower than this host's a worker's clock may be
 * @property settleSlackMs network and timer delays on top of a lapse
 * @property startValidMs time within which a start order may take effect
 * @property startAnswerMs a start or stop without an answer counts as unknown after this time;
 *   many times the way to a worker and back, and a small part of what a short job may take
 * @property reportWaitMs how long a worker may hold a report back while nothing ends
 * @property lossyReportWaitMs the same while calls get lost: a lost report hides ends for this long
 * @property reportAnswerMs time for a report's answer on top of that
 * @property lossKeptMs after a lost call, calls count as unreliable for this time
 * @property reportRetryMs pause after a second report that failed in a row
 * @property stopRetryMs a stop is repeated until the worker lists the end
 * @property quorumFreshMs a leader that heard no quorum for this long gives no orders
 * @property leaveSettleMs time between a worker's goodbye and the end of its process
 * @property silentForgetMs a worker without any sign of life is forgotten after this time
 * @property endedKeepMs how long the outcome of a job can be asked for
 * @property suspectMs how long a worker whose runs failed is used last
 * @property stalledMs a run without progress for this time is moved to another worker
 */
internal data class PushSettings(
    val leaseMs: Long = 5_000,
    val clockDriftShare: Double = 0.02,
    val settleSlackMs: Long = 300,
    val startValidMs: Long = 1_500,
    val startAnswerMs: Long = 150,
    val reportWaitMs: Long = 500,
    val lossyReportWaitMs: Long = 150,
    val reportAnswerMs: Long = 200,
    val lossKeptMs: Long = 3_000,
    val reportRetryMs: Long = 200,
    val stopRetryMs: Long = 200,
    val quorumFreshMs: Long = 300,
    val leaveSettleMs: Long = 500,
    val silentForgetMs: Long = 20_000,
    val endedKeepMs: Long = 300_000,
    val suspectMs: Long = 8_000,
    val stalledMs: Long = 1_500
)

/** Time after the last grant until everything on a silent worker has ended. */
internal val PushSettings.lapseMs: Long
    get() = (leaseMs / (1 - clockDriftShare)).toLong() + settleSlackMs
