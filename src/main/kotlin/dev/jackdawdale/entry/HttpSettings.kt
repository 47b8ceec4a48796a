package dev.jackdawdale.entry

import dev.jackdawdale.model.TokenHash

/** How callers authenticate. */
internal enum class AuthMode {
    /** Bearer tokens, compared with salted hashes. */
    TOKEN,

    /** No authentication; allowed on loopback addresses only. */
    NONE,

    /** No authentication; the network admits authorized callers only. */
    PRIVATE_NETWORK
}

/**
 * Settings of the HTTP server of a process.
 *
 * @property port port to listen on; 0 picks a free one
 * @property maxBodyBytes longest request body
 * @property maxBufferedBodyBytes total size of all request bodies held at once
 * @property maxHeaderBytes total size of a request's headers, and length of its request line
 * @property maxConnections open connections; any further one gets a 503 and is closed
 * @property idleTimeoutMs time without a complete request after which a connection is closed
 * @property threads event loop threads
 * @property operatorTokenHashes hashes of the `operator:<secret>` tokens
 * @property memberTokenHashes hashes of the `member:<secret>` tokens of endpoints and workers
 */
internal data class HttpSettings(
    val address: String = "127.0.0.1",
    val port: Int = 0,
    val maxBodyBytes: Int = 1024 * 1024,
    val maxBufferedBodyBytes: Long = 64L * 1024 * 1024,
    val maxHeaderBytes: Int = 16 * 1024,
    val maxConnections: Int = 4_096,
    val idleTimeoutMs: Long = 60_000,
    val threads: Int = 2,
    val authMode: AuthMode = AuthMode.TOKEN,
    val operatorTokenHashes: List<TokenHash> = emptyList(),
    val memberTokenHashes: List<TokenHash> = emptyList()
)
