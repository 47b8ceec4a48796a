package dev.jackdawdale.standin

import java.nio.file.Path

/**
 * How a sample endpoint behaves.
 *
 * @property announcePort the port to announce when the endpoint is behind a proxy
 * @property runMs how long a request runs unless its body says `run_ms=`
 * @property runSpreadMs upper bound of a random addition to the run time, drawn with [seed]
 * @property failEvery every nth request is answered with status 500; 0 for none
 * @property cutEvery every nth answer is truncated; 0 for none
 */
internal data class EndpointOptions(
    val id: String,
    val service: String,
    val entryUrls: List<String>,
    val address: String = "127.0.0.1",
    val port: Int = 0,
    val slots: Int = 8,
    val connections: Int = 60,
    val failureDomain: String = "local",
    val runMs: Long = 20,
    val runSpreadMs: Long = 0,
    val failEvery: Int = 0,
    val cutEvery: Int = 0,
    val seed: Long = 1,
    val token: String? = null,
    val journal: Path? = null,
    val announcePort: Int? = null
)
