package dev.jackdawdale.platform

import dev.jackdawdale.model.MAX_RESOURCE
import dev.jackdawdale.outgoing.socketAddress
import dev.jackdawdale.push.EndedRun
import dev.jackdawdale.push.ListedEnd
import dev.jackdawdale.push.ListedRun
import dev.jackdawdale.push.RunReport
import dev.jackdawdale.push.StartRefusal
import dev.jackdawdale.push.WorkerRegistration
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/**
 * Decodes a worker's registration. Throws [MalformedBody] when a field is missing, has another
 * type or is out of range, or when the state is unknown: the sender of such a registration is not
 * a worker.
 */
internal fun decodeWorkerRegistration(workerId: String, bytes: ByteArray): WorkerRegistration {
    val fields = wireObject(bytes)
    val state = fields.text("state")
    if (state != "ready" && state != "draining") throw MalformedBody("state $state is not known")
    if (!workerId.matches(workerIdPattern)) throw MalformedBody("the id is not a worker's")
    val capacity = fields.objectOrNull("capacity") ?: throw MalformedBody("capacity is missing")
    val labels = fields.arrayOrNull("labels").orEmpty()
    if (labels.size > MAX_LABELS) throw MalformedBody("more than $MAX_LABELS labels")
    val worker = PushWorker(
        workerId = workerId,
        // The start time distinguishes processes that use the same id one after the other.
        boot = fields.longOrNull("born") ?: 0,
        address = fields.workerAddress(),
        service = fields.nameText("service"),
        failureDomain = fields.nameText("zone"),
        cpuMillis = capacity.resource("cpu"),
        memoryMib = capacity.resource("memMb"),
        accelerators = capacity.longOrNull("gpu", 0..MAX_RESOURCE) ?: 0,
        labels = labels.map { it.asText("labels") },
        draining = state == "draining"
    )
    return WorkerRegistration(worker, fields.long("sequence"))
}

private fun JsonObject.resource(name: String): Long =
    longOrNull(name, 0..MAX_RESOURCE) ?: throw MalformedBody("$name is missing")

private fun JsonObject.workerAddress(): String {
    val address = text("address")
    if (socketAddress(address) == null) throw MalformedBody("address is not ip:port")
    return address
}

private val workerIdPattern = Regex("[\\x21-\\x7e]{1,128}")
private const val MAX_LABELS = 64

/**
 * Decodes a worker's lists of runs. Throws [MalformedBody]; a malformed row is left out and given
 * to [onSkipped], as no run of this system is listed like that.
 */
internal fun decodeRunReport(
    bytes: ByteArray,
    onSkipped: (rows: Int, problem: String) -> Unit = { _, _ -> }
): RunReport {
    val fields = wireObject(bytes)
    val ended = fields.arrayOrNull("endedRuns") ?: JsonArray(emptyList())
    val running = fields.arrayOrNull("running") ?: JsonArray(emptyList())
    val runningRows = running.readRows(::runningRow)
    val endedRows = ended.readRows(::endedRow)
    for (list in listOf(runningRows, endedRows)) {
        list.problem?.let { onSkipped(list.skipped, it) }
    }
    return RunReport(
        boot = fields.longOrNull("born"),
        clockMs = fields.long("clockMs"),
        running = runningRows.rows,
        ended = endedRows.rows,
        hasMoreEnds = ended.size >= MAX_LISTED_ENDS,
        unclear = running.unclearTasks(runningRows.rows)
    )
}

/** The tasks that rows name, but for those in the rows that were [read]. */
private fun JsonArray.unclearTasks(read: List<ListedRun>): Set<StageTaskId> {
    if (read.size == size) return emptySet()
    val known = read.mapTo(HashSet()) { it.taskId }
    return readRows { it.taskId(0, "running") }.rows.filterTo(HashSet()) { it !in known }
}

private fun runningRow(row: JsonElement) = ListedRun(
    taskId = row.taskId(0, "running"),
    run = row.value(1, "running").asInt("running"),
    checkpoint = row.value(2, "running").asText("running"),
    percent = row.value(RUNNING_PERCENT, "running").asInt("running")
)

/** A worker lists at most this many ends at a time, as the platform's protocol says. */
private const val MAX_LISTED_ENDS = 500
private const val RUNNING_PERCENT = 3
private const val END_KIND = 3
private const val END_CHECKPOINT = 4

private fun endedRow(row: JsonElement): EndedRun {
    val kind = row.value(END_KIND, "endedRuns").asText("endedRuns")
    return EndedRun(
        number = row.value(0, "endedRuns").asLong("endedRuns"),
        taskId = row.taskId(1, "endedRuns"),
        run = row.value(2, "endedRuns").asInt("endedRuns"),
        end = endKinds[kind] ?: throw MalformedBody("end $kind is not known"),
        checkpoint = (row as JsonArray).getOrNull(END_CHECKPOINT)?.asText("endedRuns").orEmpty()
    )
}

private fun JsonElement.taskId(index: Int, list: String): StageTaskId {
    val name = value(index, list).asText(list)
    return taskIdOrNull(name) ?: throw MalformedBody("$list holds no task name")
}

/**
 * Decodes the adviser's answer. Throws [MalformedBody]; a malformed row is left out and given to
 * [onSkipped].
 */
internal fun decodeTickets(
    bytes: ByteArray,
    onSkipped: (rows: Int, problem: String) -> Unit = { _, _ -> }
): AdviceResult.Given {
    val good = wireObject(bytes).array("good").readRows {
        it.value(0, "good").asText("good") to it.value(1, "good").asText("good")
    }
    good.problem?.let { onSkipped(good.skipped, it) }
    return AdviceResult.Given(good.rows.toMap())
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
    "fence" to StartRefusal.OLD_TOKEN,
    "old" to StartRefusal.OLD_RUN,
    "late" to StartRefusal.TOO_LATE,
    "room" to StartRefusal.NO_ROOM,
    "ticket" to StartRefusal.NO_TICKET
)
