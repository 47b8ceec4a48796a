package dev.jackdawdale.codec

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.core.exc.StreamConstraintsException
import java.io.IOException

/** Nesting of objects and lists; the parser that builds a tree recurses once per level. */
private const val MAX_DEPTH = 32

/** Number of values, each of which takes a multiple of its text in memory. */
private const val MAX_VALUES = 200_000

private val factory: JsonFactory = JsonFactory.builder()
    .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
    // Readers differ in which of two equal names they take.
    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
    // The table of names is shared and grows with the names that callers choose.
    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
    .build()

/** Bytes from another process that are not one JSON value, or a larger one than is read. */
internal class NotJson(problem: String, cause: Throwable? = null) :
    Exception(problem, cause, false, false)

/**
 * The text of a body, which is read to its end and is one JSON value as of RFC 8259, in UTF-8.
 * Throws [NotJson].
 *
 * The decoders of kotlinx.serialization don't check this: a tree may hold any word without quotes,
 * and typed decoders skip the fields that they don't know.
 */
internal fun jsonText(bytes: ByteArray): String {
    val text = try {
        bytes.decodeToString(throwOnInvalidSequence = true)
    } catch (e: CharacterCodingException) {
        throw NotJson("not UTF-8", e)
    }
    try {
        factory.createParser(text).use(::readToEnd)
    } catch (e: StreamConstraintsException) {
        throw NotJson("nested more than $MAX_DEPTH deep, or a value is too long", e)
    } catch (e: JsonProcessingException) {
        throw NotJson(e.kindAndPlace(), e)
    } catch (e: IOException) {
        throw NotJson("can't be read", e)
    }
    return text
}

/** Without the parser's quotations of the text, which may hold keys. */
private fun JsonProcessingException.kindAndPlace(): String {
    val kind = originalMessage.takeWhile { it !in QUOTATION_STARTS }.trim()
    return "$kind at line ${location?.lineNr}, column ${location?.columnNr}"
}

private const val QUOTATION_STARTS = "'\"(\n"

private fun readToEnd(parser: JsonParser) {
    var values = 0
    do {
        val token = parser.nextToken() ?: throw NotJson("the value is missing or cut off")
        if (token.isScalarValue || token.isStructStart) values++
        if (values > MAX_VALUES) throw NotJson("more than $MAX_VALUES values")
        // A number is checked when it is read.
        if (token.isNumeric) parser.numberType
    } while (!parser.parsingContext.inRoot())
    if (parser.nextToken() != null) throw NotJson("text after the value")
}
