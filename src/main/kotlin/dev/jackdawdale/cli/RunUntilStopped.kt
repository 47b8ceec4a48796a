package dev.jackdawdale.cli

import java.util.concurrent.CountDownLatch
import org.apache.logging.log4j.LogManager

/**
 * Runs [start], blocks until the process gets SIGTERM or SIGINT, runs [onStop] and ends the process
 * with status 0. A signal during [start] counts as well. Only an exception of [start] ends it.
 */
internal fun runUntilStopped(onStop: () -> Unit, start: () -> Unit = {}) {
    // Logging registers a shutdown hook when it is first used, which fails during the shutdown.
    LogManager.getContext(false)
    val hook = Thread {
        try {
            onStop()
        } finally {
            LogManager.shutdown()
            // Without this the JVM ends a signalled process with status 143.
            Runtime.getRuntime().halt(ExitCode.OK)
        }
    }
    Runtime.getRuntime().addShutdownHook(hook)
    var started = false
    try {
        start()
        started = true
    } finally {
        // A failed start must not end with the status of a graceful stop.
        if (!started) Runtime.getRuntime().removeShutdownHook(hook)
    }
    CountDownLatch(1).await()
}
