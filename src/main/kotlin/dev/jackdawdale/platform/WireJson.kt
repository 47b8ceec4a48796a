package dev.jackdawdale.platform

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** A body with a missing or malformed field; [problem] names the field. */
internal class MalformedBody(val problem: String, cause: Throwable? = null) :
    Exception(problem, cause, false, false)

/** Decodes the bytes of a body. Throws [MalformedBody] when they are not a JSON object. */
internal fun wireObject(bytes: ByteArray): JsonObject {
    val element = try {
        Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true))
    } catch (e: IllegalArgumentException) {
        throw MalformedBody("not JSON: ${e.message.orEmpty().lineSequence().first()}", e)
    } catch (e: CharacterCodingException) {
        throw MalformedBody("not UTF-8", e)
    }
    return element as? JsonObject ?: throw MalformedBody("not a JSON object")
}

private fun JsonObject.primitive(name: String): JsonPrimitive? {
    val element = this[name] ?: return null
    val primitive = element as? JsonPrimitive ?: throw MalformedBody("$name is not a single value")
    return primitive.takeIf { it.content != "null" || it.isString }
}

private fun <T> JsonObject.typed(name: String, type: String, read: (JsonPrimitive) -> T?): T? {
    val primitive = primitive(name) ?: return null
    return read(primitive) ?: throw MalformedBody("$name is not $type")
}

internal fun JsonObject.textOrNull(name: String): String? =
    typed(name, "a text") { if (it.isString) it.content else null }

internal fun JsonObject.text(name: String): String =
    textOrNull(name) ?: throw MalformedBody("$name is missing")

internal fun JsonObject.longOrNull(name: String): Long? =
    typed(name, "a whole number") { if (it.isString) null else it.longOrNull }

internal fun JsonObject.long(name: String): Long =
    longOrNull(name) ?: throw MalformedBody("$name is missing")

internal fun JsonObject.doubleOrNull(name: String): Double? =
    typed(name, "a number") { if (it.isString) null else it.doubleOrNull }

internal fun JsonObject.flag(name: String): Boolean =
    typed(name, "true or false") { it.booleanOrNull } ?: false

internal fun JsonObject.arrayOrNull(name: String): JsonArray? {
    val element = this[name] ?: return null
    return element as? JsonArray ?: throw MalformedBody("$name is not a list")
}

internal fun JsonObject.array(name: String): JsonArray =
    arrayOrNull(name) ?: throw MalformedBody("$name is missing")

internal fun JsonObject.objectOrNull(name: String): JsonObject? {
    val element = this[name] ?: return null
    if (element is JsonPrimitive && element.content == "null") return null
    return element as? JsonObject ?: throw MalformedBody("$name is not an object")
}

internal fun JsonElement.asObject(name: String): JsonObject =
    this as? JsonObject ?: throw MalformedBody("$name holds something that is not an object")

internal fun JsonElement.asText(name: String): String = (this as? JsonPrimitive)
    ?.takeIf { it.isString }?.content ?: throw MalformedBody("$name holds something but a text")

internal fun JsonElement.asLong(name: String): Long = (this as? JsonPrimitive)
    ?.takeIf { !it.isString }?.longOrNull
    ?: throw MalformedBody("$name holds something but a whole number")
