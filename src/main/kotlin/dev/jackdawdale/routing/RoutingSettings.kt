package dev.jackdawdale.routing

/**
 * Policy of routing.
 *
 * @property shortBoundMs requests that run at most this long are short
 * @property longShare part of a service's slots that long work may hold
 * @property longShareLeast part that it may hold however much short work there is
 * @property peakBucketMs arriving short work is averaged over this long, so bursts may wait as long
 * @property peakHeadroom slots kept for short work, relative to its peak
 * @property peakWindowMs how long a peak of short work is remembered, at least
 * @property longLeast part of a service's slots that long work gets even while short work waits
 * @property customerLongShare part of the long slots that one customer may hold while the long
 *     work of another one waits
 * @property trialRuns requests of an unmeasured kind that run as short work at the same time
 * @property declaredFactor declared times are wrong by up to this factor
 * @property lateFactor typical run times left before the deadline, below which a request is late
 * @property dispatchValidMs a dispatch expires at the entry host this long after its decision
 * @property retryBaseMs first pause of an endpoint that failed; doubles with each further failure
 * @property parkMs pause of a request whose allowed endpoints are all busy
 * @property maxDebtMs most slot time that a customer is behind the others for earlier use
 */
internal data class RoutingSettings(
    val shortBoundMs: Long = 1_000,
    val longShare: Double = 0.75,
    val longShareLeast: Double = 0.25,
    val peakBucketMs: Long = 100,
    val peakHeadroom: Double = 1.25,
    val peakWindowMs: Long = 60_000,
    val longLeast: Double = 0.125,
    val customerLongShare: Double = 0.5,
    val trialRuns: Int = 2,
    val declaredFactor: Int = 10,
    val lateFactor: Double = 2.0,
    val dispatchValidMs: Long = 2_000,
    val retryBaseMs: Long = 100,
    val retryMaxMs: Long = 10_000,
    val probeWindowMs: Long = 1_000,
    val parkMs: Long = 100,
    val maxDebtMs: Double = 60_000.0
)
