package dev.jackdawdale.platform

import java.util.concurrent.Callable
import picocli.CommandLine.Command

@Command(
    name = "platform",
    description = [
        "Runs a process on the users' platform until SIGTERM.",
        "The environment variable $SETTINGS_VARIABLE holds the path of the settings file."
    ],
    footer = ["", "Example: $SETTINGS_VARIABLE=/etc/jackdawdale/local.json jackdawdale platform"],
    mixinStandardHelpOptions = true
)
internal class PlatformCommand : Callable<Int> {
    override fun call(): Int = runPlatform()
}
