package dev.jackdawdale.settings

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.TokenHash
import dev.jackdawdale.model.isValidId
import io.netty.util.NetUtil
import java.nio.file.Path

/** The result of parsing one value. */
internal sealed interface Parsed<out T> {
    data class Valid<T>(val value: T) : Parsed<T>

    data object Invalid : Parsed<Nothing>

    /** The text is a number followed by [unit]. */
    data class WithUnit(val number: Long, val unit: String) : Parsed<Nothing>
}

/**
 * How the text of a value is parsed.
 *
 * @property expected describes a valid value, for error messages and the reference page
 */
internal class ValueType<T>(val expected: String, val parse: (String) -> Parsed<T>)

private val numberWithUnit = Regex("(\\d+)\\s*([A-Za-z]+)")

/** A whole number within [range], in [unit]; the unit is part of the key's name. */
internal fun wholeNumber(unit: String, range: LongRange): ValueType<Long> {
    val expected = "a whole number of $unit from ${range.first} to ${range.last}"
    return ValueType(expected) { text ->
        val withUnit = numberWithUnit.matchEntire(text)
        val number = text.toLongOrNull()
        when {
            number != null && number in range -> Parsed.Valid(number)
            withUnit != null -> Parsed.WithUnit(
                withUnit.groupValues[1].toLongOrNull() ?: Long.MAX_VALUE,
                withUnit.groupValues[2]
            )
            else -> Parsed.Invalid
        }
    }
}

internal val ipAddress = ValueType("an IP address, such as 10.0.0.7") { text ->
    if (isIpAddress(text)) Parsed.Valid(text) else Parsed.Invalid
}

internal val idText = ValueType("1 to 128 of the characters A-Z a-z 0-9 . _ : @ -") { text ->
    if (isValidId(text)) Parsed.Valid(text) else Parsed.Invalid
}

internal val path = ValueType("the path of a file or folder") { text ->
    if (text.isBlank()) Parsed.Invalid else Parsed.Valid(Path.of(text))
}

/** One of the names of an enum, in lower case. */
internal fun <E : Enum<E>> oneOf(values: List<E>): ValueType<E> =
    ValueType("one of ${values.joinToString { it.name.lowercase() }}") { text ->
        val value = values.firstOrNull { it.name.lowercase() == text }
        if (value == null) Parsed.Invalid else Parsed.Valid(value)
    }

/** Values of [type] separated by commas; an empty text is an empty list. */
internal fun <T> commaSeparated(type: ValueType<T>): ValueType<List<T>> =
    ValueType("a list, separated by commas, of: ${type.expected}") { text ->
        val parts = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
        val values = parts.map(type.parse).filterIsInstance<Parsed.Valid<T>>().map { it.value }
        if (values.size == parts.size) Parsed.Valid(values) else Parsed.Invalid
    }

internal val hostAddress = ValueType("id@ip:port, such as kochi-1@10.1.0.1:7401") { text ->
    val id = text.substringBeforeLast('@', "")
    val address = text.substringAfterLast('@').substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull()
    val plain = address.removeSurrounding("[", "]")
    when {
        !isValidId(id) || !isIpAddress(plain) -> Parsed.Invalid
        port == null || port !in 1..MAX_PORT -> Parsed.Invalid
        else -> Parsed.Valid(HostAddress(HostId(id), plain, port))
    }
}

private val hex = Regex("([0-9a-f]{2})+")

internal val tokenHash =
    ValueType("salt:hash in hexadecimal, as `jackdawdale token hash` prints it") { text ->
        val salt = text.substringBefore(':', "")
        val hash = text.substringAfter(':')
        if (hex.matches(salt) && hex.matches(hash) && hash.length == SHA256_HEX_CHARS) {
            Parsed.Valid(TokenHash(salt, hash))
        } else {
            Parsed.Invalid
        }
    }

internal const val MAX_PORT = 65_535
private const val SHA256_HEX_CHARS = 64

// Host names are not allowed, so that loading settings never waits for DNS.
private fun isIpAddress(text: String): Boolean =
    NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text)
