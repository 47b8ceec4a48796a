package dev.jackdawdale.host

private const val NANOS_PER_MS = 1_000_000L

/**
 * Creates a monotonic clock, in milliseconds since the epoch, that starts at the wall clock time. A
 * step of the system clock therefore neither ends a lease early nor stops a timer.
 */
internal fun steadyClock(
    wallMs: () -> Long = System::currentTimeMillis,
    nanos: () -> Long = System::nanoTime
): () -> Long {
    val startMs = wallMs()
    val startNanos = nanos()
    return { startMs + (nanos() - startNanos) / NANOS_PER_MS }
}
