package dev.jackdawdale.platform

import dev.jackdawdale.push.EndedRun
import dev.jackdawdale.push.ListedEnd
import dev.jackdawdale.push.ListedRun
import dev.jackdawdale.push.RunReport
import dev.jackdawdale.push.StartRefusal
import dev.jackdawdale.push.WorkerRegistration
import dev.jackdawdale.staged.PushWorker
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.platform")

/**
 * Decodes a worker's registration. Throws [MalformedBody] when a field is missing or has
 * another type, or when the state is unknown: the sender of such a registration is not a worker.
 */
internal fun decodeWorkerRegistration(workerId: String, bytes: ByteArray): WorkerRegistration {
    val fields = wireObject(bytes)
    val state = fields.text("state")
    if (state != "ready" && state != "draining") throw MalformedBody("state $state is not known")
    val capacity = fields.objectOrNull("capacity") ?: throw MalformedBody("capacity is missing")
    val worker = PushWorker(
        workerId = workerId,
        // The start time distinguishes processes that use the same id one after the other.
        boot = fields.longOrNull("born") ?: 0,
        address = fields.text("address"),
        service = fields.text("service"),
        failureDomain = fields.text("zone"),
        cpuMillis = capacity.long("cpu"),
        memoryMib = capacity.long("memMb"),
        accelerators = capacity.longOrNull("gpu") ?: 0,
        labels = fields.arrayOrNull("labels").orEmpty().map { it.asText("labels") },
        draining = state == "draining"
    )
    return WorkerRegistration(worker, fields.long("sequence"))
}

/** Decodes a worker's lists of runs. Throws [MalformedBody]; a malformed row is left out. */
internal fun decodeRunReport(bytes: ByteArray): RunReport {
    val fields = wireObject(bytes)
    val ended = fields.arrayOrNull("endedRuns").orEmpty()
    return RunReport(
        boot = fields.longOrNull("born"),
        clockMs = fields.long("clockMs"),
        running = fields.arrayOrNull("running").orEmpty().mapNotNull { row(it, ::runningRow) },
        ended = ended.mapNotNull { row(it, ::endedRow) },
        hasMoreEnds = ended.size >= MAX_LISTED_ENDS
    )
}

private fun <T> row(element: JsonElement, read: (JsonArray) -> T?): T? = try {
    read(element as? JsonArray ?: throw MalformedBody("a row is not a list"))
} catch (e: MalformedBody) {
    log.warn("skips a malformed row of a worker's list: {}", e.problem)
    null
} catch (e: IndexOutOfBoundsException) {
    log.warn("skips a row with missing values of a worker's list: {}", e.message)
    null
}

private fun runningRow(row: JsonArray): ListedRun? {
    val taskId = taskIdOrNull(row[0].asText("running")) ?: return null
    return ListedRun(
        taskId = taskId,
        run = row[1].asLong("running").toInt(),
        checkpoint = row[2].asText("running"),
        percent = row[3].asLong("running").toInt()
    )
}

/** A worker lists at most this many ends at a time, as the platform's protocol says. */
private const val MAX_LISTED_ENDS = 500
private const val END_KIND = 3
private const val END_CHECKPOINT = 4

private fun endedRow(row: JsonArray): EndedRun {
    val kind = row[END_KIND].asText("endedRuns")
    return EndedRun(
        number = row[0].asLong("endedRuns"),
        taskId = taskIdOrNull(row[1].asText("endedRuns")),
        run = row[2].asLong("endedRuns").toInt(),
        end = endKinds[kind] ?: throw MalformedBody("end $kind is not known"),
        checkpoint = row.getOrNull(END_CHECKPOINT)?.asText("endedRuns").orEmpty()
    )
}

private val endKinds = mapOf(
    "done" to ListedEnd.DONE,
    "failed" to ListedEnd.FAILED,
    "stopped" to ListedEnd.STOPPED,
    "lapsed" to ListedEnd.LAPSED,
    "broken" to ListedEnd.BROKEN,
    "alone" to ListedEnd.ALONE
)

/** Start refusals by the `reason` in a worker's 409 answer. */
internal val refusalReasons = mapOf(
    "fence" to StartRefusal.OLD_TERM,
    "old" to StartRefusal.OLD_RUN,
    "late" to StartRefusal.TOO_LATE,
    "room" to StartRefusal.NO_ROOM,
    "ticket" to StartRefusal.NO_TICKET
)
