package dev.jackdawdale.cli

import java.util.concurrent.CountDownLatch
import org.apache.logging.log4j.LogManager

/**
 * Runs [start], blocks until SIGTERM or SIGINT, runs [onStop] and exits the process with status 0.
 * Signals are also handled during [start]. Returns only by an exception of [start].
 */
internal fun runUntilStopped(onStop: () -> Unit, start: () -> Unit = {}) {
    // Logging registers a shutdown hook when it is first used, which fails during the shutdown.
    LogManager.getContext(false)
    val hook = Thread {
        try {
            onStop()
        } finally {
            LogManager.shutdown()
            // Otherwise the JVM exits with status 143 after a signal.
            Runtime.getRuntime().halt(ExitCode.OK)
        }
    }
    Runtime.getRuntime().addShutdownHook(hook)
    var started = false
    try {
        start()
        started = true
    } finally {
        // A failed start must not exit with the status of a graceful stop.
        if (!started) Runtime.getRuntime().removeShutdownHook(hook)
    }
    CountDownLatch(1).await()
}
