package dev.jackdawdale.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option

@Command(
    name = "queue",
    description = ["Lists waiting work and the reason why it waits."],
    footer = ["", "Example: jackdawdale queue --customer glassworks"]
)
internal class QueueCommand : CellCommand() {
    @Option(names = ["--limit"], description = ["Maximum entries. Default: \${DEFAULT-VALUE}"])
    var limit: Int = 100

    override fun call(): Int {
        val path = "/v1/queue" + query("customer" to cell.customerId(), "limit" to limit)
        val shown = columns("work_id", "waiting_since_ms", "waiting_tasks", "reason")
        return run(CellCall("GET", path)) { printList(it, "entries", shown) }
    }
}

@Command(name = "cell", description = ["Shows the cell."], mixinStandardHelpOptions = true)
internal class CellGroupCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

internal fun cellCommandLine(): CommandLine =
    CommandLine(CellGroupCommand()).addSubcommand(CellStatusCommand())

@Command(
    name = "status",
    description = ["Shows the leader, the replicas and the amount of work."],
    footer = ["", "Example: jackdawdale cell status"]
)
internal class CellStatusCommand : CellCommand() {
    override fun call(): Int = run(CellCall("GET", "/v1/cell"), ::printObject)
}
