package dev.jackdawdale.routing

/**
 * Settings of the routing of requests.
 *
 * @property shortBoundMs requests that run at most this long are short
 * @property longMaxShare greatest part of a service's slots that long work may hold
 * @property longMaxShareFloor part that it may hold regardless of the demand of short work
 * @property peakBucketMs length over which arriving short work is averaged; bursts may wait as long
 * @property peakHeadroom slots kept for short work, as a multiple of its peak demand
 * @property peakWindowMs least time for which a peak of short work is taken into account
 * @property longReservedShare part of the slots that long work gets even while short work waits
 * @property customerLongShare part of the long slots that one customer may hold while the long
 *     work of another one waits
 * @property trialRuns most requests of an unmeasured kind that run as short work at once
 * @property declaredFactor assumed error of declared run times, as a factor
 * @property lateFactor a request with less time left than this many typical run times is late
 * @property dispatchValidMs time after its decision at which a dispatch expires at the entry host
 * @property backoffBaseMs back-off after an endpoint's first failure; doubles with each further one
 * @property backoffMaxMs longest back-off of an endpoint
 * @property probeWindowMs shortest time without a failure after which a probe passes
 * @property busyBackoffMs pause of a request whose allowed endpoints are all busy
 * @property maxDebtMs most weighted slot time by which earlier use puts a customer behind others
 */
internal data class RoutingSettings(
    val shortBoundMs: Long = 1_000,
    val longMaxShare: Double = 0.75,
    val longMaxShareFloor: Double = 0.25,
    val peakBucketMs: Long = 100,
    val peakHeadroom: Double = 1.25,
    val peakWindowMs: Long = 60_000,
    val longReservedShare: Double = 0.125,
    val customerLongShare: Double = 0.5,
    val trialRuns: Int = 2,
    val declaredFactor: Int = 10,
    val lateFactor: Double = 2.0,
    val dispatchValidMs: Long = 2_000,
    val backoffBaseMs: Long = 100,
    val backoffMaxMs: Long = 10_000,
    val probeWindowMs: Long = 1_000,
    val busyBackoffMs: Long = 100,
    val maxDebtMs: Double = 60_000.0
)
