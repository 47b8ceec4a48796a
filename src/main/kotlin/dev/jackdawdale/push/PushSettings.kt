package dev.jackdawdale.push

/**
 * Timeouts and intervals for sending orders to workers.
 *
 * @property leaseMs lease of a worker after each report; long enough for a leader election
 * @property maxLeaseMs longest lease that a worker grants, whatever time it is asked for
 * @property clockDriftShare share by which a worker's clock may be slower than this host's
 * @property leaseExpirySlackMs allowance for network and timer delays after a lease has expired
 * @property startValidMs time within which a start order may take effect
 * @property startAnswerMs timeout of a start or stop order, after which its effect is unknown; many
 *   times the round trip to a worker, and a small part of what a short job may take
 * @property reportWaitMs how long a worker may delay its report until a run ends (long poll)
 * @property lossyReportWaitMs the same while calls get lost, as a lost report delays ends this long
 * @property reportAnswerMs timeout of a report request beyond the time that it may be delayed
 * @property lossWindowMs how long calls count as unreliable after a lost one
 * @property reportRetryMs pause before a retry once two reports in a row have failed
 * @property stopRetryMs interval at which a stop is repeated until the worker lists the end
 * @property quorumFreshMs a leader without contact with a quorum for this long sends no orders
 * @property leaveGraceMs time between a worker's leave notice and the end of its process
 * @property silentForgetMs a worker that sends nothing for this long is removed
 * @property endedKeepMs retention of the outcome of an ended job
 * @property suspectMs how long a worker is used last after its runs failed, stalled or were slow
 * @property stalledMs a run without progress for this time is moved to another worker
 * @property remoteFactor multiple of the run time that a task takes away from the rack of its data
 *   or its gang; 1 where distance costs nothing
 * @property localityWait whether steps wait for room in that rack
 * @property learnSpeeds whether workers are chosen by the speed that their runs have shown
 * @property rateWindowMs span over which a customer's jobs are counted against its rate
 * @property gangReservations limits on the room that is kept free for gangs that don't fit
 */
internal data class PushSettings(
    val leaseMs: Long = 5_000,
    val maxLeaseMs: Long = 6_000,
    val clockDriftShare: Double = 0.02,
    val leaseExpirySlackMs: Long = 300,
    val startValidMs: Long = 1_500,
    val startAnswerMs: Long = 150,
    val reportWaitMs: Long = 500,
    val lossyReportWaitMs: Long = 150,
    val reportAnswerMs: Long = 200,
    val lossWindowMs: Long = 3_000,
    val reportRetryMs: Long = 200,
    val stopRetryMs: Long = 200,
    val quorumFreshMs: Long = 300,
    val leaveGraceMs: Long = 500,
    val silentForgetMs: Long = 20_000,
    val endedKeepMs: Long = 300_000,
    val suspectMs: Long = 8_000,
    val stalledMs: Long = 1_500,
    val remoteFactor: Double = 1.0,
    val localityWait: Boolean = true,
    val learnSpeeds: Boolean = true,
    val rateWindowMs: Long = 1_000,
    val gangReservations: ReservationLimits = ReservationLimits()
)

/** Time after the last lease extension until everything on a silent worker has ended. */
internal val PushSettings.leaseExpiryMs: Long
    get() = expiryMs(minOf(leaseMs, maxLeaseMs))

/**
 * Like [leaseExpiryMs] if another process than the intended one took the call: the lease time is
 * on a clock that it doesn't have, so that its lease may be the longest that workers grant.
 */
internal val PushSettings.maxLeaseExpiryMs: Long
    get() = expiryMs(maxLeaseMs)

private fun PushSettings.expiryMs(ofLeaseMs: Long): Long =
    (ofLeaseMs / (1 - clockDriftShare)).toLong() + leaseExpirySlackMs
