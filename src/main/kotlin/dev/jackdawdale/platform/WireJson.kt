package dev.jackdawdale.platform

import dev.jackdawdale.codec.NotJson
import dev.jackdawdale.codec.jsonText
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** A body with a missing or malformed field; [problem] names the field. */
internal class MalformedBody(val problem: String, cause: Throwable? = null) :
    Exception(problem, cause, false, false)

/** The largest whole number that every reader of JSON represents exactly. */
private const val MAX_WHOLE = (1L shl 53) - 1

/** About three years; sums and multiples of such times fit into 64 bits. */
private const val MAX_DURATION_MS = 100_000_000_000.0
private const val MAX_NAME_CHARS = 256

/**
 * Decodes the bytes of a body. Throws [MalformedBody] when they are not a JSON object, or one that
 * is nested too deeply or too large to be parsed.
 */
internal fun wireObject(bytes: ByteArray): JsonObject {
    val element = try {
        Json.parseToJsonElement(jsonText(bytes))
    } catch (e: NotJson) {
        throw MalformedBody("not JSON: ${e.message}", e)
    } catch (e: IllegalArgumentException) {
        // The message of this parser may quote the body.
        throw MalformedBody("not JSON that can be held", e)
    }
    return element as? JsonObject ?: throw MalformedBody("not a JSON object")
}

private fun JsonObject.primitive(name: String): JsonPrimitive? {
    val element = this[name] ?: return null
    val primitive = element as? JsonPrimitive ?: throw MalformedBody("$name is not a single value")
    return primitive.takeIf { it !is JsonNull }
}

private fun <T> JsonObject.typed(name: String, type: String, read: (JsonPrimitive) -> T?): T? {
    val primitive = primitive(name) ?: return null
    return read(primitive) ?: throw MalformedBody("$name is not $type")
}

internal fun JsonObject.textOrNull(name: String): String? = typed(name, "a text") { it.textOrNull }

private val JsonPrimitive.textOrNull: String? get() = content.takeIf { isString && it.isWellFormed }

/** Whether surrogates come in pairs. JSON may escape one alone, but UTF-8 can't pass it on. */
private val String.isWellFormed: Boolean
    get() = indices.all { index ->
        when {
            this[index].isHighSurrogate() -> getOrNull(index + 1)?.isLowSurrogate() ?: false
            this[index].isLowSurrogate() -> getOrNull(index - 1)?.isHighSurrogate() ?: false
            else -> true
        }
    }

internal fun JsonObject.text(name: String): String =
    textOrNull(name) ?: throw MalformedBody("$name is missing")

/** A text of a length that fits into log lines and metric labels. */
internal fun JsonObject.nameText(name: String): String {
    val value = text(name)
    if (value.length > MAX_NAME_CHARS) throw MalformedBody("$name is over $MAX_NAME_CHARS long")
    return value
}

internal fun JsonObject.longOrNull(name: String, range: LongRange = 0..MAX_WHOLE): Long? =
    typed(name, "a whole number from ${range.first} to ${range.last}") { it.longIn(range) }

internal fun JsonObject.long(name: String): Long =
    longOrNull(name) ?: throw MalformedBody("$name is missing")

internal fun JsonObject.intOrNull(name: String): Int? = longOrNull(name, 0L..Int.MAX_VALUE)?.toInt()

internal fun JsonObject.doubleOrNull(name: String, max: Double = MAX_DURATION_MS): Double? =
    typed(name, "a number from 0 to $max") { number ->
        if (number.isString) null else number.doubleOrNull?.takeIf { it in 0.0..max }
    }

/** Checks the type of a number that nothing uses; any finite value is kept. */
internal fun JsonObject.checkNumber(name: String) {
    typed(name, "a number") { number ->
        if (number.isString) null else number.doubleOrNull?.takeIf { it.isFinite() }
    }
}

/** Checks the type of a whole number that nothing uses. */
internal fun JsonObject.checkWholeNumber(name: String) {
    typed(name, "a whole number") { it.longIn(Long.MIN_VALUE..Long.MAX_VALUE) }
}

/** A time in milliseconds, rounded down. */
internal fun JsonObject.durationMsOrNull(name: String): Long? = doubleOrNull(name)?.toLong()

private fun JsonPrimitive.longIn(range: LongRange): Long? =
    if (isString) null else longOrNull?.takeIf { it in range }

internal fun JsonObject.flag(name: String): Boolean =
    typed(name, "true or false") { if (it.isString) null else it.booleanOrNull } ?: false

internal fun JsonObject.arrayOrNull(name: String): JsonArray? {
    val element = this[name] ?: return null
    return element as? JsonArray ?: throw MalformedBody("$name is not a list")
}

/** A list that may be omitted or null, as some encoders write an empty one. */
internal fun JsonObject.listOrEmpty(name: String): List<JsonElement> =
    if (this[name] is JsonNull) emptyList() else arrayOrNull(name).orEmpty()

internal fun JsonObject.array(name: String): JsonArray =
    arrayOrNull(name) ?: throw MalformedBody("$name is missing")

internal fun JsonObject.objectOrNull(name: String): JsonObject? {
    val element = this[name] ?: return null
    if (element is JsonNull) return null
    return element as? JsonObject ?: throw MalformedBody("$name is not an object")
}

internal fun JsonElement.asObject(name: String): JsonObject =
    this as? JsonObject ?: throw MalformedBody("$name holds something that is not an object")

internal fun JsonElement.asText(name: String): String = (this as? JsonPrimitive)?.textOrNull
    ?: throw MalformedBody("$name holds something but a text")

internal fun JsonElement.asLong(name: String, range: LongRange = 0..MAX_WHOLE): Long =
    (this as? JsonPrimitive)?.longIn(range)
        ?: throw MalformedBody("$name holds something but a whole number in its range")

internal fun JsonElement.asInt(name: String): Int = asLong(name, 0L..Int.MAX_VALUE).toInt()

/** The value at [index] of a row of the list [name]. */
internal fun JsonElement.value(index: Int, name: String): JsonElement {
    val row = this as? JsonArray ?: throw MalformedBody("$name holds a row that is not a list")
    return row.getOrNull(index) ?: throw MalformedBody("$name holds a row of ${row.size} values")
}

/** The rows that [read] can decode, and the problem of the first other one, if any. */
internal fun <T> JsonArray.readRows(read: (JsonElement) -> T): ReadRows<T> {
    var problem: String? = null
    val rows = mapNotNull { row ->
        try {
            read(row)
        } catch (e: MalformedBody) {
            problem = problem ?: e.problem
            null
        }
    }
    return ReadRows(rows, size - rows.size, problem)
}

/**
 * The readable rows of a list.
 *
 * @property skipped number of rows that were left out
 * @property problem what is wrong with the first of them
 */
internal class ReadRows<T>(val rows: List<T>, val skipped: Int, val problem: String?)
