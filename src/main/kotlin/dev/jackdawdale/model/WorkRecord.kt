package dev.jackdawdale.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The work that a customer submitted, as stored in a record. */
@Serializable
sealed interface Asked {
    @Serializable
    @SerialName("request")
    data class Request(val spec: RequestSpec) : Asked

    @Serializable
    @SerialName("job")
    data class Job(val spec: JobSpec) : Asked
}

/** The id of the submitted work item. */
val Asked.workId: WorkId
    get() = when (this) {
        is Asked.Request -> spec.workId
        is Asked.Job -> spec.workId
    }

/**
 * The permanent record of one work item: what was submitted, which contract applied, how it ended.
 *
 * @property number position in the sequence of all records of the cell, from 0
 * @property contractVersion version of the contract under which it was accepted
 * @property attempts number of placements that may have reached an endpoint or worker
 * @property tasksSucceeded number of tasks of a job that succeeded
 * @property lastPlacedAt endpoint id of the last attempt of a request, or null
 */
@Serializable
data class WorkRecord(
    val number: Long,
    val workId: WorkId,
    val customerId: CustomerId,
    val asked: Asked,
    val contractVersion: Long,
    val acceptedAtMs: Long,
    val endedAtMs: Long,
    val outcome: Outcome,
    val attempts: Int,
    val tasksSucceeded: Int = 0,
    val lastPlacedAt: String? = null,
    val answer: Answer? = null
)
