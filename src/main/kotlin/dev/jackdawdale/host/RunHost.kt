package dev.jackdawdale.host

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.cli.runUntilStopped
import dev.jackdawdale.settings.Settings

/** Runs a process of the system until SIGTERM and returns the exit code of the command. */
internal fun runHost(settings: Settings): Int {
    val process = HostProcess(settings)
    runUntilStopped(process::stop, process::start)
    return ExitCode.OK
}
