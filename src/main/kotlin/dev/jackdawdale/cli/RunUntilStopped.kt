package dev.jackdawdale.cli

import java.util.concurrent.CountDownLatch
import org.apache.logging.log4j.LogManager

/**
 * Blocks until the process gets SIGTERM or SIGINT, runs [onStop] and ends the process with status
 * 0. It returns only when the waiting thread is interrupted.
 */
internal fun runUntilStopped(onStop: () -> Unit) {
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
    CountDownLatch(1).await()
}
