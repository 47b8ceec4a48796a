package dev.jackdawdale.platform

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.cli.runUntilStopped
import dev.jackdawdale.telemetry.Logging
import dev.jackdawdale.telemetry.configureLogging
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import picocli.CommandLine.Command
import sun.misc.Signal

private val log = LogManager.getLogger("dev.jackdawdale.platform")

@Command(
    name = "platform",
    description = [
        "Runs a process on the users' platform until SIGTERM.",
        "The settings file is the one that the variable $SETTINGS_VARIABLE names."
    ],
    footer = ["", "Example: $SETTINGS_VARIABLE=/etc/jackdawdale/local.json jackdawdale platform"],
    mixinStandardHelpOptions = true
)
internal class PlatformCommand : Callable<Int> {
    override fun call(): Int {
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
}
