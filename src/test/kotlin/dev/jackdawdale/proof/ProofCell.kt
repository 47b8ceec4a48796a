package dev.jackdawdale.proof

import dev.jackdawdale.standin.httpClient
import dev.jackdawdale.testing.CallerAnswer
import dev.jackdawdale.testing.Evidence
import dev.jackdawdale.testing.TestCell
import dev.jackdawdale.testing.recordedOutcomes
import java.io.IOException
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

private const val CALL_TIMEOUT_MS = 10_000L
private val http = httpClient()

/** Calls an entry host over HTTP; returns null when no answer came. */
internal fun TestCell.call(
    method: String,
    path: String,
    body: String = "",
    hostId: String = entryHosts.first().id
): HttpResponse<String>? {
    val request = HttpRequest.newBuilder(URI.create("${url(hostId)}$path"))
        .timeout(Duration.ofMillis(CALL_TIMEOUT_MS))
        .header("Jackdawdale-Customer", CUSTOMER)
        .method(method, HttpRequest.BodyPublishers.ofString(body))
        .build()
    return try {
        http.send(request, HttpResponse.BodyHandlers.ofString())
    } catch (_: IOException) {
        null
    }
}

/** JSON object that a GET call returned with status 200, or null. */
internal fun TestCell.json(path: String, hostId: String = entryHosts.first().id): JsonObject? =
    call("GET", path, hostId = hostId)?.takeIf { it.statusCode() == 200 }
        ?.let { Json.parseToJsonElement(it.body()).jsonObject }

/** Polls the entry hosts until one knows the leader; returns its host id. */
internal fun TestCell.awaitLeader(except: String? = null): String {
    var leader: String? = null
    awaitUntil("a leader other than $except", 30_000) {
        leader = entryHosts.firstNotNullOfOrNull { leaderOrNull(it.id) }
        leader != null && leader != except
    }
    return checkNotNull(leader)
}

private fun TestCell.leaderOrNull(hostId: String): String? =
    json("/v1/cell", hostId)?.get("leader")?.jsonPrimitive?.content

/** Puts a contract that allows all work of the tests; returns the status code. */
internal fun TestCell.putContract(version: Int = 0, changeId: String = "first"): Int? =
    call("PUT", "/v1/contracts/$CUSTOMER", contractJson(version, changeId))?.statusCode()

internal fun contractJson(expectedVersion: Int, changeId: String, maxTasks: Int = 100): String =
    """{"expected_version":$expectedVersion,"change_id":"$changeId",
    "ceiling":{"cpu_millis":1000000,"memory_mib":1000000,"accelerators":100},
    "max_running_tasks":$maxTasks,"max_running_requests":1000,"request_rate_per_sec":10000,
    "request_burst":10000,"max_queued_requests":10000,"max_queued_jobs":1000}"""

/** Waits until no work is waiting or running, so that the records are complete. */
private fun TestCell.awaitIdle(hostId: String) = awaitUntil("all work ended", 90_000) {
    val status = json("/v1/cell", hostId)
    status != null &&
        listOf(
            "waiting_requests",
            "placed_requests",
            "waiting_tasks",
            "running_tasks"
        ).all { status.getValue(it).jsonPrimitive.int == 0 }
}

/** Waits until all work has ended, then collects the journals, [answers] and records. */
internal fun TestCell.evidence(answers: Collection<CallerAnswer>): Evidence =
    evidenceAt(entryHosts.first().id, answers)

/** Like [evidence], but asks the entry host [hostId]. */
internal fun TestCell.evidenceAt(hostId: String, answers: Collection<CallerAnswer>): Evidence {
    awaitIdle(hostId)
    return Evidence(
        journals(),
        answers.toList(),
        recordedOutcomes(recordLines(hostId).joinToString("\n")),
        recordsAreComplete = true
    )
}

private fun TestCell.recordLines(hostId: String): List<String> {
    val lines = mutableListOf<String>()
    awaitUntil("records of all ended work", 30_000) {
        lines.clear()
        val ended = json("/v1/cell", hostId)?.get("ended_work")?.jsonPrimitive?.long
        while (ended != null && lines.size < ended) {
            val path = "/v1/records?from_number=${lines.size}&limit=500"
            val page = call("GET", path, hostId = hostId)
                ?.takeIf { it.statusCode() == 200 }?.body().orEmpty().lines()
                .filter { it.isNotBlank() }
            if (page.isEmpty()) break
            lines += page
        }
        lines.size.toLong() == ended
    }
    return lines
}

/** True when the replica on [hostId] is a voter and has all committed entries. */
internal fun TestCell.hasCaughtUp(hostId: String): Boolean {
    val status = entryHosts.firstNotNullOfOrNull { json("/v1/cell", it.id) } ?: return false
    val committed = status.getValue("commit_index").jsonPrimitive.long
    return status.getValue("replicas").jsonArray.map { it.jsonObject }.any {
        it.getValue("host_id").jsonPrimitive.content == hostId &&
            it.getValue("voter").jsonPrimitive.boolean &&
            it.getValue("match_index").jsonPrimitive.long >= committed
    }
}
