package dev.jackdawdale.cli

import dev.jackdawdale.host.runHost
import dev.jackdawdale.platform.DemoCommand
import dev.jackdawdale.platform.PlatformCommand
import kotlin.system.exitProcess
import picocli.CommandLine
import picocli.CommandLine.Command

/** The root command; every role and every operator command is a subcommand of it. */
@Command(
    name = "jackdawdale",
    description = ["A cluster scheduler for services, batch jobs, gangs and short requests."],
    mixinStandardHelpOptions = true,
    version = ["jackdawdale 0.1.0"]
)
internal class RootCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

/** Builds the command line; [serve] runs a process of the system. */
internal fun rootCommandLine(serve: Serve = ::serveUnavailable): CommandLine =
    CommandLine(RootCommand())
        .addSubcommand(ServeCommand(serve))
        .addSubcommand(PlatformCommand())
        .addSubcommand(DemoCommand())
        .addSubcommand(CheckConfigCommand())
        .addSubcommand(CallCommand())
        .addSubcommand(SubmitCommand())
        .addSubcommand(StatusCommand())
        .addSubcommand(CancelCommand())
        .addSubcommand(RecordsCommand())
        .addSubcommand(contractCommandLine())
        .addSubcommand(endpointCommandLine())
        .addSubcommand(workerCommandLine())
        .addSubcommand(QueueCommand())
        .addSubcommand(cellCommandLine())
        .addSubcommand(TimelineCommand())
        .addSubcommand(tokenCommandLine())
        .addSubcommand(CompletionCommand())
        .addSubcommand(sampleCommandLine())
        .setCaseInsensitiveEnumValuesAllowed(true)

/** Runs one command and exits with its status. */
fun main(args: Array<String>) {
    exitProcess(rootCommandLine(::runHost).execute(*args))
}
