package dev.jackdawdale.standin

import java.security.MessageDigest
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/**
 * The answer of a sample endpoint. It names the work and the hash of its body, so that a caller
 * detects an incomplete answer or one that belongs to another request.
 *
 * @property filler text that pads the answer to the requested length
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

/** Decodes the mark in [text]; null when it is incomplete or malformed. */
internal fun markOrNull(text: String): Mark? = try {
    snakeJson.decodeFromString<Mark>(text)
} catch (_: SerializationException) {
    null
}
