package dev.jackdawdale.records

import dev.jackdawdale.model.Blob
import java.security.MessageDigest
import java.util.HexFormat

internal const val CHAIN_HASH_BYTES = 32

/** The chain hash that precedes the first record. */
internal val firstChainHash: Blob = Blob(ByteArray(CHAIN_HASH_BYTES))

/** SHA-256 of the previous record's chain hash followed by the encoded record. */
internal fun nextChainHash(previous: Blob, encoded: ByteArray): Blob {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(previous.bytes)
    return Blob(digest.digest(encoded))
}

internal fun Blob.hex(): String = HexFormat.of().formatHex(bytes)
