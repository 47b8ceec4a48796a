package dev.jackdawdale.standin

import java.nio.file.Path

/**
 * One kind of request in a mix, written as `kind:share:body`, such as `check:90:run_ms=5`.
 *
 * @property share weight relative to the other kinds
 */
internal data class LoadKind(val kind: String, val share: Int, val body: String)

/** Parses one kind of a mix; null when [text] has another form. */
internal fun loadKind(text: String): LoadKind? {
    val parts = text.split(':', limit = 3)
    val share = parts.getOrNull(1)?.toIntOrNull()?.takeIf { it > 0 } ?: return null
    return LoadKind(parts[0], share, parts.getOrNull(2).orEmpty())
}

/**
 * An open-loop load: requests start at planned times, whether or not earlier ones have ended.
 *
 * @property count total number of requests
 * @property ratePerSec planned starts per second
 * @property maxInFlight limit of requests in flight; starts beyond it are counted as skipped
 * @property resends how often a request is sent again, with the same id, after a lost answer
 * @property answers file for the answers as JSON lines, for checks
 */
internal data class LoadOptions(
    val entryUrls: List<String>,
    val service: String,
    val customer: String,
    val mix: List<LoadKind>,
    val count: Int = 100,
    val ratePerSec: Int = 50,
    val idempotent: Boolean = true,
    val deadlineMs: Long = 30_000,
    val maxInFlight: Int = 1_000,
    val resends: Int = 3,
    val seed: Long = 1,
    val idPrefix: String = "load",
    val token: String? = null,
    val answers: Path? = null
)
