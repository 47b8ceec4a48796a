package dev.jackdawdale.cli

import dev.jackdawdale.settings.Settings
import dev.jackdawdale.settings.SettingsResult
import dev.jackdawdale.settings.defaultSettings
import dev.jackdawdale.settings.describe
import dev.jackdawdale.settings.loadSettings
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** Runs a process of the system until it is stopped, and returns its exit status. */
internal typealias Serve = (Settings) -> Int

internal fun serveUnavailable(settings: Settings): Int {
    System.err.println("this build does not include serve (host ${settings.host.id})")
    return ExitCode.REFUSED
}

@Command(
    name = "serve",
    description = [
        "Runs a process of the system until SIGTERM.",
        "Without --settings: both roles on loopback, data in ./jackdawdale-data."
    ],
    footer = ["", "Example: jackdawdale serve --settings /etc/jackdawdale/kochi-1.ini"],
    mixinStandardHelpOptions = true
)
internal class ServeCommand(private val serve: Serve) : Callable<Int> {
    @Option(names = ["--settings"], paramLabel = "FILE", description = ["Settings file (INI)."])
    var settingsFile: Path? = null

    override fun call(): Int {
        val file = settingsFile ?: return serve(defaultSettings())
        return when (val result = loadSettings(file)) {
            is SettingsResult.Loaded -> serve(result.settings)
            is SettingsResult.Rejected -> printRejected(result)
        }
    }
}

internal fun printRejected(result: SettingsResult.Rejected): Int {
    result.errors.forEach { System.err.println(it.describe()) }
    return ExitCode.USAGE
}
