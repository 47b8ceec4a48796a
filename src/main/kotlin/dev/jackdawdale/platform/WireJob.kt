package dev.jackdawdale.platform

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.JobProgress
import dev.jackdawdale.staged.Schedule
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import kotlinx.serialization.json.JsonObject

/** Decodes a caller's job. Throws [MalformedBody]. */
internal fun decodeSubmit(host: String, path: String, bytes: ByteArray): StagedCommand.Submit {
    val fields = wireObject(bytes)
    val count = fields.longOrNull("repeatCount") ?: 0
    val schedule = if (count > 0) {
        Schedule(
            firstAtMs = fields.longOrNull("firstRunMs") ?: 0,
            everyMs = fields.longOrNull("intervalMs") ?: 0,
            count = count.toInt()
        )
    } else {
        null
    }
    return StagedCommand.Submit(
        host = host,
        path = path,
        payload = fields.textOrNull("spec").orEmpty(),
        steps = fields.array("steps").map { step(it.asObject("steps")) },
        schedule = schedule
    )
}

private fun step(fields: JsonObject) = StepSpec(
    taskCount = fields.longOrNull("count")?.toInt() ?: 0,
    perTask = Resources(
        cpuMillis = fields.longOrNull("cpu") ?: 0,
        memoryMib = fields.longOrNull("memMb") ?: 0,
        accelerators = fields.longOrNull("gpu") ?: 0
    ),
    estimatedMs = fields.doubleOrNull("estimatedMs")?.toLong() ?: 0,
    after = fields.arrayOrNull("after").orEmpty().map { it.asLong("after").toInt() },
    checkpoints = fields.flag("checkpointing"),
    gang = fields.flag("gang"),
    oneRack = fields.flag("sameRack"),
    requiredLabel = fields.textOrNull("requiredLabel").orEmpty(),
    dataRack = fields.textOrNull("dataRack").orEmpty(),
    maxPerWorker = fields.longOrNull("antiAffinity")?.toInt() ?: 0,
    allowDuplicates = fields.flag("allowDuplicates"),
    longRunning = fields.flag("longRunning"),
    image = fields.textOrNull("image").orEmpty(),
    usesLeftover = fields.flag("fills"),
    latencyTargetMs = fields.doubleOrNull("targetMs")?.toLong() ?: 0,
    maxUnavailable = fields.longOrNull("maxUnavailable")?.toInt() ?: 0
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

/** Parses a task name; null when it has another form. */
internal fun taskIdOrNull(name: String): StageTaskId? {
    val parts = name.split('.')
    if (parts.size != TASK_NAME_PARTS) return null
    val occurrence = parts[1].toIntOrNull() ?: return null
    val step = parts[2].toIntOrNull() ?: return null
    val index = parts[TASK_NAME_PARTS - 1].toIntOrNull() ?: return null
    return StageTaskId(StepId(parts[0], occurrence, step), index)
}

private const val TASK_NAME_PARTS = 4
