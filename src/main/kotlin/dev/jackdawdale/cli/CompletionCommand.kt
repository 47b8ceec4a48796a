package dev.jackdawdale.cli

import java.util.concurrent.Callable
import picocli.AutoComplete
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec

@Command(
    name = "completion",
    description = ["Prints a completion script for bash and zsh."],
    footer = ["", "Example: source <(jackdawdale completion)"],
    mixinStandardHelpOptions = true
)
internal class CompletionCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        print(AutoComplete.bash("jackdawdale", spec.root().commandLine()))
        return ExitCode.OK
    }
}
