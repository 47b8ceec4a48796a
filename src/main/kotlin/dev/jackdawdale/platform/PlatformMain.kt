package dev.jackdawdale.platform

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.cli.runUntilStopped
import dev.jackdawdale.telemetry.LogConfig
import dev.jackdawdale.telemetry.configureLogging
import java.io.IOException
import java.nio.file.Path
import kotlin.system.exitProcess
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import sun.misc.Signal

/**
 * Does what the command `platform` does, but skips the command line: its classes take as long to
 * load as all others together.
 */
fun main() {
    exitProcess(runPlatform())
}

/** Runs a process on the platform until SIGTERM; returns the exit status. */
internal fun runPlatform(): Int {
    val file = System.getenv(SETTINGS_VARIABLE)
        ?: return usageError("environment variable $SETTINGS_VARIABLE is not set")
    val settings = try {
        readPlatformSettings(Path.of(file))
    } catch (e: MalformedBody) {
        return usageError("$file: ${e.problem}")
    } catch (e: IOException) {
        return usageError("cannot read $file: ${e.message}")
    }
    val incarnation = System.currentTimeMillis()
    configureLogging(LogConfig(true, Level.INFO, settings.hostName, incarnation))
    val host = PlatformHost(settings, incarnation)
    // Without a handler the JVM ends on SIGHUP.
    Signal.handle(Signal("HUP")) { reload(host, Path.of(file)) }
    runUntilStopped(host::stop, host::start)
    return ExitCode.OK
}

private fun reload(host: PlatformHost, file: Path) {
    val log = LogManager.getLogger("dev.jackdawdale.platform")
    try {
        host.reload(readPlatformSettings(file))
    } catch (e: MalformedBody) {
        log.error("ignoring the changed settings: {}", e.problem)
    } catch (e: IOException) {
        log.error("cannot read the changed settings: {}", e.message)
    }
}

private fun usageError(problem: String): Int {
    System.err.println(problem)
    return ExitCode.USAGE
}
