package dev.jackdawdale.entry

import dev.jackdawdale.codec.NotJson
import dev.jackdawdale.codec.jsonText
import dev.jackdawdale.model.Refusal
import kotlinx.serialization.KSerializer
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

internal const val JSON_TYPE = "application/json"

/** The JSON of the HTTP API: snake case, unknown fields rejected, null fields omitted. */
internal val httpJson: Json = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    decodeEnumsCaseInsensitive = true
    encodeDefaults = true
    explicitNulls = false
}

private val unknownKey = Regex("unknown key '([^']*)'")
private val capital = Regex("[A-Z]")

private fun String.toSnakeCase(): String = replace(capital) { "_${it.value.lowercase()}" }

/** Decodes the body of a call; the error of a malformed body names the field where it can. */
internal fun <T> HttpCall.decodeBody(serializer: KSerializer<T>): T = try {
    httpJson.decodeFromString(serializer, jsonText(body))
} catch (e: NotJson) {
    throw badRequest("malformed_json", problemOf(e))
} catch (e: MissingFieldException) {
    val names = e.missingFields.joinToString(", ") { it.toSnakeCase() }
    throw badRequest("malformed_json", "missing fields: $names")
} catch (e: SerializationException) {
    throw badRequest("malformed_json", problemOf(e))
} catch (e: IllegalArgumentException) {
    throw badRequest("malformed_json", problemOf(e))
}

private fun problemOf(e: Exception): String {
    val text = e.message.orEmpty()
    unknownKey.find(text)?.let { return "unknown field \"${it.groupValues[1]}\"" }
    return text.lineSequence().first()
}

internal fun <T> jsonResult(
    status: Int,
    serializer: KSerializer<T>,
    value: T,
    headers: Map<String, String> = emptyMap()
): HttpResult {
    val body = httpJson.encodeToString(serializer, value).encodeToByteArray()
    return HttpResult(status, JSON_TYPE, body, headers)
}

@Serializable
private data class ErrorJson(
    val error: String,
    val message: String,
    val ran: String,
    val retryAfterMs: Long?,
    val limit: String?,
    val allowed: Long?,
    val currentVersion: Long?,
    val winnerChangeId: String?
)

private const val MS_PER_S = 1_000

internal fun HttpError.toResult(): HttpResult {
    val body = ErrorJson(
        error = label,
        message = message,
        ran = ran.label,
        retryAfterMs = retryAfterMs,
        limit = (refusal as? Refusal.LimitReached)?.limit,
        allowed = (refusal as? Refusal.LimitReached)?.allowed,
        currentVersion = (refusal as? Refusal.VersionConflict)?.currentVersion,
        winnerChangeId = (refusal as? Refusal.VersionConflict)?.winner?.value
    )
    val retryAfterS = retryAfterMs?.let { (it + MS_PER_S - 1) / MS_PER_S }
    val retry = retryAfterS?.let { mapOf("Retry-After" to "$it") }.orEmpty()
    return jsonResult(status, ErrorJson.serializer(), body, headers + retry)
}
