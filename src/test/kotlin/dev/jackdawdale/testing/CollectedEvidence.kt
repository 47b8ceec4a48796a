package dev.jackdawdale.testing

import dev.jackdawdale.standin.LoadAnswer
import dev.jackdawdale.standin.snakeJson
import kotlinx.serialization.Serializable

/** The fields that [violations] needs of a line of `GET /v1/records`. */
@Serializable
private data class RecordLine(
    val workId: String,
    val outcome: String,
    val ran: String,
    val request: AskedLine? = null
)

@Serializable
private data class AskedLine(val idempotent: Boolean)

/** Parses the JSON lines that `GET /v1/records` returned. */
internal fun recordedOutcomes(jsonLines: String): List<RecordedOutcome> =
    jsonLines.lines().filter { it.isNotBlank() }.map { line ->
        val record = snakeJson.decodeFromString<RecordLine>(line)
        RecordedOutcome(
            record.workId,
            record.outcome,
            mayHaveRun = record.ran == "unknown",
            idempotent = record.request?.idempotent ?: true
        )
    }

/** Parses the answers that the load tool wrote as JSON lines. */
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
