package dev.jackdawdale.platform

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.security.MessageDigest
import java.util.HexFormat

private const val BEARER = "Bearer "

/** Hash of a customer's key, hexadecimal SHA-256. Only the hash leaves the entry host. */
internal fun hashKey(key: String): String = hash(key.encodeToByteArray())

/** Hash of the key in the Authorization header, or empty without one. */
internal fun keyHashOf(headers: HttpHeaders): String {
    val value = headers[HttpHeaderNames.AUTHORIZATION] ?: return ""
    if (!value.startsWith(BEARER, ignoreCase = true)) return ""
    val key = value.substring(BEARER.length).trim()
    // Each character of a header is one byte of the call; a key may have other than ASCII ones.
    return if (key.isEmpty()) "" else hash(key.toByteArray(Charsets.ISO_8859_1))
}

private fun hash(key: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key))
