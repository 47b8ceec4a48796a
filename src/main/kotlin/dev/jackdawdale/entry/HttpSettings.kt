package dev.jackdawdale.entry

import dev.jackdawdale.model.TokenHash

/** How callers prove who they are. */
internal enum class AuthMode {
    /** Bearer tokens, compared with salted hashes. */
    TOKEN,

    /** No proof; allowed on loopback addresses only. */
    NONE,

    /** No proof; the network admits nobody but those who may call. */
    PRIVATE_NETWORK
}

/**
 * The HTTP server of a process.
 *
 * @property port port to listen on; 0 takes a free one
 * @property maxBodyBytes longest request body
 * @property maxBufferedBodyBytes sum of the bodies of all requests that are held at once
 * @property maxHeaderBytes longest sum of a request's headers, and longest request line
 * @property maxConnections open connections; one more is answered 503 and closed
 * @property idleTimeoutMs a connection on which no complete request arrives is closed after this
 * time
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
