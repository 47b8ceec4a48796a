package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/** A task that a worker reports as running, with its resource usage. */
@Serializable
data class ReportedTask(val taskId: TaskId, val token: FencingToken, val usage: Resources)

/** The end of a task, as reported by its worker. */
@Serializable
data class ReportedEnd(
    val taskId: TaskId,
    val token: FencingToken,
    val result: TaskResult,
    val detail: String = ""
)
