package dev.jackdawdale.wire

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.staged.StagedQuery
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A read-only call from an entry host to the leader. */
@Serializable
sealed interface Query {
    /** One work item; [customerId] is null when an operator asks. */
    @Serializable
    @SerialName("work")
    data class Work(val customerId: CustomerId?, val workId: WorkId) : Query

    @Serializable
    @SerialName("contracts")
    data class Contracts(val customerId: CustomerId? = null) : Query

    @Serializable
    @SerialName("endpoints")
    data object Endpoints : Query

    @Serializable
    @SerialName("workers")
    data object Workers : Query

    /** A query about staged jobs. */
    @Serializable
    @SerialName("staged")
    data class Staged(val query: StagedQuery) : Query

    /** Waiting work with the reasons why it waits. */
    @Serializable
    @SerialName("queue")
    data class Queue(val customerId: CustomerId? = null, val limit: Int = 1000) : Query

    @Serializable
    @SerialName("cellStatus")
    data object CellStatus : Query

    /**
     * Records of ended work in order of their numbers.
     *
     * @property fromNumber first record number to return
     * @property outcome an outcome label, or null for all
     */
    @Serializable
    @SerialName("records")
    data class Records(
        val customerId: CustomerId? = null,
        val endedFromMs: Long = 0,
        val endedToMs: Long = Long.MAX_VALUE,
        val outcome: String? = null,
        val fromNumber: Long = 0,
        val limit: Int = 1000
    ) : Query
}
