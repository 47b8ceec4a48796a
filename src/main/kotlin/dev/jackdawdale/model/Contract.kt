package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/** How soon work must start relative to other work. */
@Serializable
enum class Urgency { URGENT, NORMAL, DEFERRABLE }

/** What happens to a customer's new work when the cell is full. */
@Serializable
enum class WhenFull { WAIT, REFUSE }

/**
 * The salted hash of a bearer token; the token itself is never stored.
 *
 * @property saltHex hexadecimal salt
 * @property hashHex hexadecimal SHA-256 of salt and token
 */
@Serializable
data class TokenHash(val saltHex: String, val hashHex: String)

/**
 * The only contract of a customer; all limits of the customer come from it.
 *
 * @property version rises by one with every accepted change; 0 means "no contract yet"
 * @property guaranteed resources that the customer's tasks get even when the cell is full
 * @property ceiling resources that the customer's running tasks may use in total
 * @property maxRunningTasks tasks placed on workers at the same time
 * @property maxRunningRequests requests in flight to endpoints
 * @property requestRatePerSec sustained rate of accepted requests
 * @property requestBurst size in requests of the token bucket for the rate; 0 counts as 1
 * @property maxQueuedRequests requests accepted and not yet placed
 * @property maxQueuedJobs jobs accepted and not yet fully placed
 * @property weight share relative to other customers when there is more work than capacity
 * @property maxDeadlineMs longest deadline that a request may have, in milliseconds
 */
@Serializable
data class Contract(
    val customerId: CustomerId,
    val version: Long,
    val guaranteed: Resources = Resources(),
    val ceiling: Resources,
    val maxRunningTasks: Int,
    val maxRunningRequests: Int,
    val requestRatePerSec: Int,
    val requestBurst: Int,
    val maxQueuedRequests: Int,
    val maxQueuedJobs: Int,
    val urgencies: Set<Urgency> = Urgency.entries.toSet(),
    val whenFull: WhenFull = WhenFull.WAIT,
    val weight: Int = 1,
    val maxDeadlineMs: Long = 3_600_000,
    val tokenHashes: List<TokenHash> = emptyList()
)

/**
 * A contract change that an operator made, kept to recognize a resend or a reused change id.
 *
 * @property version the contract version that the change produced
 * @property atMs leader's time of the change, milliseconds since the epoch
 */
@Serializable
data class AppliedChange(
    val changeId: ChangeId,
    val customerId: CustomerId,
    val version: Long,
    val atMs: Long
)
