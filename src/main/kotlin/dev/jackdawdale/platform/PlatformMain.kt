package dev.jackdawdale.platform

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.cli.runUntilStopped
import dev.jackdawdale.telemetry.Logging
import dev.jackdawdale.telemetry.configureLogging
import java.io.IOException
import java.nio.file.Path
import kotlin.system.exitProcess
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import sun.misc.Signal

/**
 * Starts the process without the command line, whose classes take as long to load as all others
 * together. It does what the command `platform` does.
 */
fun main() {
    exitProcess(runPlatform())
}

/** Runs a process on the platform until SIGTERM; the exit status of the command. */
internal fun runPlatform(): Int {
    val file = System.getenv(SETTINGS_VARIABLE)
        ?: return refuse("the variable $SETTINGS_VARIABLE is not set")
    val settings = try {
        readPlatformSettings(Path.of(file))
    } catch (e: MalformedBody) {
        return refuse("$file: ${e.problem}")
    } catch (e: IOException) {
        return refuse("$file cannot be read: ${e.message}")
    }
    val incarnation = System.currentTimeMillis()
    configureLogging(Logging(true, Level.INFO, settings.hostName, incarnation))
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
        log.error("the changed settings are ignored: {}", e.problem)
    } catch (e: IOException) {
        log.error("the changed settings cannot be read: {}", e.message)
    }
}

private fun refuse(problem: String): Int {
    System.err.println(problem)
    return ExitCode.USAGE
}
