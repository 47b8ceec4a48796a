package dev.jackdawdale.platform

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.cli.runUntilStopped
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command

@Command(
    name = "platform",
    description = [
        "Runs a process on the users' platform until SIGTERM.",
        "The settings file is the one that the variable $SETTINGS_VARIABLE names."
    ],
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
        val host = PlatformHost(settings)
        runUntilStopped(host::stop, host::start)
        return ExitCode.OK
    }

    private fun refuse(problem: String): Int {
        System.err.println(problem)
        return ExitCode.USAGE
    }
}
