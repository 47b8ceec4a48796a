package dev.jackdawdale.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An instruction to a worker, repeated until the worker reports that it is done. */
@Serializable
sealed interface WorkerOrder {
    val taskId: TaskId
    val token: FencingToken

    /** Start the task unless the worker has seen an equal or greater token for it. */
    @Serializable
    @SerialName("start")
    data class Start(
        override val taskId: TaskId,
        override val token: FencingToken,
        val resources: Resources,
        val timeLimitMs: Long?,
        val payload: String
    ) : WorkerOrder

    /** Stop the task and report its end. */
    @Serializable
    @SerialName("stop")
    data class Stop(
        override val taskId: TaskId,
        override val token: FencingToken,
        val reason: StopReason
    ) : WorkerOrder

    /** Save the task's progress, then stop it and report its end as checkpointed. */
    @Serializable
    @SerialName("checkpoint")
    data class Checkpoint(override val taskId: TaskId, override val token: FencingToken) :
        WorkerOrder

    /** Limit the resource usage of the task to [limit]. */
    @Serializable
    @SerialName("throttle")
    data class Throttle(
        override val taskId: TaskId,
        override val token: FencingToken,
        val limit: Resources
    ) : WorkerOrder
}
