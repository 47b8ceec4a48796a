package dev.jackdawdale.cli

import dev.jackdawdale.settings.SettingsResult
import dev.jackdawdale.settings.loadSettings
import dev.jackdawdale.settings.settingsReference
import java.nio.file.Path
import java.util.concurrent.Callable
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Command(
    name = "check-config",
    description = ["Checks settings files and prints each error; starts nothing."],
    footer = ["", "Example: jackdawdale check-config /etc/jackdawdale/kochi-1.ini"],
    mixinStandardHelpOptions = true
)
internal class CheckConfigCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", arity = "0..*", description = ["Settings files (INI)."])
    var files: List<Path> = emptyList()

    @Option(names = ["--reference"], description = ["Prints the reference page of all settings."])
    var reference: Boolean = false

    override fun call(): Int {
        if (reference) print(settingsReference())
        if (files.isEmpty() && !reference) {
            System.err.println("name at least one settings file")
            return ExitCode.USAGE
        }
        return files.maxOfOrNull(::check) ?: ExitCode.OK
    }

    private fun check(file: Path): Int = when (val result = loadSettings(file)) {
        is SettingsResult.Loaded -> {
            println("$file: ok, host ${result.settings.host.id}")
            ExitCode.OK
        }
        is SettingsResult.Rejected -> printRejected(result)
    }
}
