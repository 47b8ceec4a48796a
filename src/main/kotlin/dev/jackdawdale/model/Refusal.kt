package dev.jackdawdale.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why new work or a change was refused. A refusal guarantees that nothing ran. */
@Serializable
sealed interface Refusal {
    /** The customer has no contract. */
    @Serializable
    @SerialName("no_contract")
    data class NoContract(val customerId: CustomerId) : Refusal

    /**
     * A limit of the contract is reached.
     *
     * @property limit name of the contract field, in snake case
     * @property retryAfterMs delay before a retry, or null when a retry can never succeed
     */
    @Serializable
    @SerialName("limit_reached")
    data class LimitReached(val limit: String, val allowed: Long, val retryAfterMs: Long?) :
        Refusal

    /** The cell is full and the contract has [WhenFull.REFUSE]. */
    @Serializable
    @SerialName("cell_full")
    data class CellFull(val retryAfterMs: Long) : Refusal

    /** The contract does not allow the requested urgency. */
    @Serializable
    @SerialName("urgency_not_allowed")
    data class UrgencyNotAllowed(val urgency: Urgency) : Refusal

    /** The same request id was used before for different work. */
    @Serializable
    @SerialName("request_id_reused")
    data class RequestIdReused(val workId: WorkId) : Refusal

    /** The value of [field] is not valid. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val field: String, val problem: String) : Refusal

    /** The item does not exist or belongs to another customer. */
    @Serializable
    @SerialName("not_found")
    data class NotFound(val what: String) : Refusal

    /** Another change with the same expected version was applied first. */
    @Serializable
    @SerialName("version_conflict")
    data class VersionConflict(
        val expectedVersion: Long,
        val currentVersion: Long,
        val winner: ChangeId?
    ) : Refusal

    /** The host or cell is stopping or cannot write; another host may accept the work. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(val reason: String, val retryAfterMs: Long) : Refusal
}

/** The name of the refusal in answers, logs and metrics. */
val Refusal.label: String
    get() = when (this) {
        is Refusal.NoContract -> "no_contract"
        is Refusal.LimitReached -> "limit_reached"
        is Refusal.CellFull -> "cell_full"
        is Refusal.UrgencyNotAllowed -> "urgency_not_allowed"
        is Refusal.RequestIdReused -> "request_id_reused"
        is Refusal.Invalid -> "invalid"
        is Refusal.NotFound -> "not_found"
        is Refusal.VersionConflict -> "version_conflict"
        is Refusal.Unavailable -> "unavailable"
    }
