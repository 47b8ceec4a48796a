package dev.jackdawdale.standin

import java.nio.file.Path

/**
 * How a sample worker behaves.
 *
 * @property runMs how long a task runs unless its payload says `run_ms=`
 * @property failAll every task fails after its run
 * @property enforcesLeases whether tasks are stopped when the lease expires
 */
internal data class WorkerOptions(
    val id: String,
    val entryUrls: List<String>,
    val cpuMillis: Long = 8_000,
    val memoryMib: Long = 16_384,
    val accelerators: Long = 0,
    val rack: String = "rack-1",
    val failureDomain: String = "local",
    val pollMs: Long = 1_000,
    val runMs: Long = 1_000,
    val failAll: Boolean = false,
    val enforcesLeases: Boolean = true,
    val token: String? = null,
    val journal: Path? = null
)
