package dev.jackdawdale.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters

@Command(
    name = "endpoint",
    description = ["Lists and operates the endpoints that serve requests."],
    mixinStandardHelpOptions = true
)
internal class EndpointCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

internal fun endpointCommandLine(): CommandLine = CommandLine(EndpointCommand())
    .addSubcommand(EndpointListCommand())
    .addSubcommand("drain", operation("endpoints", "drain", "Sends no new requests to it."))
    .addSubcommand("start", operation("endpoints", "start", "Sends requests to it again."))
    .addSubcommand("stop", operation("endpoints", "stop", "Takes it out of routing."))

@Command(
    name = "list",
    description = ["Lists endpoints with their slots and requests in flight."],
    footer = ["", "Example: jackdawdale endpoint list"]
)
internal class EndpointListCommand : CellCommand() {
    override fun call(): Int = run(CellCall("GET", "/v1/endpoints")) {
        val shown = columns(
            "info.endpoint_id",
            "info.service",
            "phase",
            "in_flight",
            "info.slots",
            "info.connections",
            "info.failure_domain",
            "info.address",
            "info.port"
        )
        printList(it, "endpoints", shown)
    }
}

@Command(
    name = "worker",
    description = ["Lists and operates the workers that run tasks."],
    mixinStandardHelpOptions = true
)
internal class WorkerCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

internal fun workerCommandLine(): CommandLine = CommandLine(WorkerCommand())
    .addSubcommand(WorkerListCommand())
    .addSubcommand("drain", operation("workers", "drain", "Places no new tasks on it."))
    .addSubcommand("start", operation("workers", "start", "Places tasks on it again."))
    .addSubcommand("stop", operation("workers", "stop", "Stops its tasks; they run elsewhere."))
    .addSubcommand(
        "confirm-lost",
        operation(
            "workers",
            "confirm-lost",
            "Confirms that it is off and runs nothing, so that its tasks may run elsewhere."
        )
    )

@Command(
    name = "list",
    description = ["Lists workers with their capacity and allocated resources."],
    footer = ["", "Example: jackdawdale worker list"]
)
internal class WorkerListCommand : CellCommand() {
    override fun call(): Int = run(CellCall("GET", "/v1/workers")) {
        val shown = columns(
            "info.worker_id",
            "phase",
            "tasks",
            "info.capacity",
            "allocated",
            "info.rack",
            "info.failure_domain",
            "info.enforces_leases"
        )
        printList(it, "workers", shown)
    }
}

/** An operation on one member; the path of the call is `/v1/<members>/<id>/<operation>`. */
private class Operation(private val members: String, private val operation: String) :
    CellCommand() {
    @Parameters(paramLabel = "ID", description = ["Id of the endpoint or worker."])
    var id: String = ""

    override fun call(): Int =
        run(CellCall("POST", "/v1/$members/${segment(id)}/$operation"), ::printObject)
}

private fun operation(members: String, name: String, description: String): CommandLine {
    val line = CommandLine(Operation(members, name))
    val example = "Example: jackdawdale ${members.dropLast(1)} $name ${members.first()}1"
    line.commandSpec.usageMessage().description(description).footer("", example)
    return line
}
