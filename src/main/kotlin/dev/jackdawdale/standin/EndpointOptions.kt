package dev.jackdawdale.standin

import java.nio.file.Path

/**
 * How a sample endpoint behaves.
 *
 * @property announcePort the port that it announces when it is reached through a proxy
 * @property runMs how long a request runs unless its body says `run_ms=`
 * @property runSpreadMs up to this much is added, drawn with [seed]
 * @property failEvery every so many requests answers 500; 0 for never
 * @property cutEvery every so many answers is cut short; 0 for never
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
