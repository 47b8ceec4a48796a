package dev.jackdawdale.testing

import dev.jackdawdale.standin.LoadAnswer
import dev.jackdawdale.standin.snakeJson
import kotlinx.serialization.Serializable

/** The fields of a record line of `GET /v1/records` that a verdict needs. */
@Serializable
private data class RecordLine(
    val workId: String,
    val outcome: String,
    val ran: String,
    val request: AskedLine? = null
)

@Serializable
private data class AskedLine(val idempotent: Boolean)

/** Reads the claims in the JSON lines of the records call. */
internal fun recordClaims(jsonLines: String): List<RecordClaim> =
    jsonLines.lines().filter { it.isNotBlank() }.map { line ->
        val record = snakeJson.decodeFromString<RecordLine>(line)
        RecordClaim(
            record.workId,
            record.outcome,
            mayHaveRun = record.ran == "unknown",
            idempotent = record.request?.idempotent ?: true
        )
    }

/** Reads the answers that the load tool wrote. */
internal fun callerAnswers(jsonLines: String): List<CallerAnswer> =
    jsonLines.lines().filter { it.isNotBlank() }.map { line ->
        val answer = snakeJson.decodeFromString<LoadAnswer>(line)
        CallerAnswer(
            answer.workId,
            answer.idempotent,
            answer.sentSha256,
            answer.status,
            answer.outcome,
            answer.ran,
            answer.body.takeIf { answer.outcome == "succeeded" }
        )
    }
