package dev.jackdawdale.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a worker has to do. Orders are repeated until the worker reports them done. */
@Serializable
sealed interface WorkerOrder {
    val taskId: TaskId
    val token: FencingToken

    /** Run the task unless a token as great or greater was seen for it. */
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

    /** Hold the task to [limit]. */
    @Serializable
    @SerialName("throttle")
    data class Throttle(
        override val taskId: TaskId,
        override val token: FencingToken,
        val limit: Resources
    ) : WorkerOrder
}
