package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/** A task that a worker holds. */
@Serializable
data class ReportedTask(val taskId: TaskId, val token: FencingToken, val usage: Resources)

/** The end of a task that a worker held. */
@Serializable
data class ReportedEnd(
    val taskId: TaskId,
    val token: FencingToken,
    val result: TaskResult,
    val detail: String = ""
)
