package dev.jackdawdale.standin

import java.security.MessageDigest
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/**
 * The answer of a sample endpoint. It names the work and the body it belongs to, so that a caller
 * sees at once when it got the answer of another request or a part of one.
 *
 * @property filler text that makes the answer as long as the body asked for
 */
@Serializable
internal data class Mark(
    val workId: String,
    val token: Long,
    val bodySha256: String,
    val endpoint: String,
    val filler: String = ""
)

/** Hexadecimal SHA-256 of [bytes]. */
internal fun sha256Hex(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }

/** The mark in [text], or null when it is not a whole one. */
internal fun markOrNull(text: String): Mark? = try {
    snakeJson.decodeFromString<Mark>(text)
} catch (_: SerializationException) {
    null
}
