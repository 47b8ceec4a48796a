package dev.jackdawdale.platform

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.JobProgress
import dev.jackdawdale.staged.Schedule
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.problemOf
import kotlinx.serialization.json.JsonObject

/** Decodes a caller's job. Throws [MalformedBody], also for a job that no leader accepts. */
internal fun decodeSubmit(host: String, path: String, bytes: ByteArray): StagedCommand.Submit {
    val fields = wireObject(bytes)
    val count = fields.intOrNull("repeatCount") ?: 0
    val schedule = if (count > 0) {
        Schedule(
            firstAtMs = fields.longOrNull("firstRunMs") ?: 0,
            everyMs = fields.longOrNull("intervalMs") ?: 0,
            count = count
        )
    } else {
        null
    }
    val steps = fields.array("steps").map { step(it.asObject("steps")) }
    problemOf(steps, schedule)?.let { throw MalformedBody(it) }
    return StagedCommand.Submit(
        host = host,
        path = path,
        payload = fields.textOrNull("spec").orEmpty(),
        steps = steps,
        schedule = schedule
    )
}

private fun step(fields: JsonObject) = StepSpec(
    taskCount = fields.intOrNull("count") ?: 0,
    perTask = Resources(
        cpuMillis = fields.longOrNull("cpu") ?: 0,
        memoryMib = fields.longOrNull("memMb") ?: 0,
        accelerators = fields.longOrNull("gpu") ?: 0
    ),
    estimatedMs = fields.durationMsOrNull("estimatedMs") ?: 0,
    after = fields.arrayOrNull("after").orEmpty().map { it.asInt("after") },
    checkpoints = fields.flag("checkpointing"),
    gang = fields.flag("gang"),
    oneRack = fields.flag("sameRack"),
    requiredLabel = fields.textOrNull("requiredLabel").orEmpty(),
    dataRack = fields.textOrNull("dataRack").orEmpty(),
    maxPerWorker = fields.intOrNull("antiAffinity") ?: 0,
    allowDuplicates = fields.flag("allowDuplicates"),
    longRunning = fields.flag("longRunning"),
    image = fields.textOrNull("image").orEmpty(),
    usesLeftover = fields.flag("fills"),
    latencyTargetMs = fields.durationMsOrNull("targetMs") ?: 0,
    maxUnavailable = fields.intOrNull("maxUnavailable") ?: 0
)

/** Name of a job's state in the platform's protocol. */
internal val JobProgress.wireName: String
    get() = when (this) {
        JobProgress.QUEUED -> "queued"
        JobProgress.RUNNING -> "running"
        JobProgress.COMPLETED -> "completed"
        JobProgress.FAILED -> "failed"
        JobProgress.CANCELLED -> "cancelled"
    }

internal val StepId.wireName: String get() = "$jobId.$occurrence.$step"

internal val StageTaskId.wireName: String get() = "${stepId.wireName}.$index"

/** Parses a task name; null when it has another form, so that no task of ours has this name. */
internal fun taskIdOrNull(name: String): StageTaskId? {
    val parts = name.split('.')
    if (parts.size != TASK_NAME_PARTS) return null
    val numbers = parts.drop(1).map { part ->
        part.toIntOrNull()?.takeIf { it >= 0 } ?: return null
    }
    val (occurrence, step, index) = numbers
    return StageTaskId(StepId(parts[0], occurrence, step), index)
}

private const val TASK_NAME_PARTS = 4
