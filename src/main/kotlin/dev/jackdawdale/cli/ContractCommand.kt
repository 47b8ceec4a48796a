package dev.jackdawdale.cli

import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Command(
    name = "contract",
    description = ["Reads and changes the contracts of customers."],
    mixinStandardHelpOptions = true
)
internal class ContractCommand : Runnable {
    override fun run() = CommandLine(this).usage(System.out)
}

internal fun contractCommandLine(): CommandLine = CommandLine(ContractCommand())
    .addSubcommand(ContractGetCommand())
    .addSubcommand(ContractPutCommand())
    .addSubcommand(ContractListCommand())

@Command(
    name = "get",
    description = ["Prints the contract of a customer."],
    footer = ["", "Example: jackdawdale contract get glassworks --output json > contract.json"]
)
internal class ContractGetCommand : CellCommand() {
    @Parameters(paramLabel = "CUSTOMER", description = ["Customer id."])
    var customerId: String = ""

    override fun call(): Int =
        run(CellCall("GET", "/v1/contracts/${segment(customerId)}"), ::printObject)
}

@Command(
    name = "list",
    description = ["Prints all contracts."],
    footer = ["", "Example: jackdawdale contract list"]
)
internal class ContractListCommand : CellCommand() {
    override fun call(): Int = run(CellCall("GET", "/v1/contracts")) {
        val shown = columns(
            "customer_id",
            "version",
            "weight",
            "when_full",
            "max_running_tasks",
            "max_running_requests",
            "request_rate_per_sec",
            "request_burst",
            "max_queued_requests"
        )
        printList(it, "contracts", shown)
    }
}

@Command(
    name = "put",
    description = [
        "Changes the contract of a customer to the JSON in a file.",
        "The change id is printed first; a change is made once per id. The command fails if there",
        "was another change since the expected version, and prints that change."
    ],
    footer = ["", "Example: jackdawdale contract put glassworks contract.json"]
)
internal class ContractPutCommand : CellCommand() {
    @Parameters(index = "0", paramLabel = "CUSTOMER", description = ["Customer id."])
    var customerId: String = ""

    @Parameters(index = "1", paramLabel = "FILE", description = ["Contract (JSON)."])
    var file: Path = Path.of("-")

    @Option(
        names = ["--expected-version"],
        description = ["Version to change; 0 for none. Default: the version in the file, else 0"]
    )
    var expectedVersion: Long? = null

    @Option(names = ["--change-id"], description = ["Id of the change. Default: a random one"])
    var changeId: String? = null

    override fun call(): Int {
        val contract = try {
            Json.parseToJsonElement(readFile()) as? JsonObject
        } catch (e: SerializationException) {
            System.err.println("$file: ${e.message}")
            return ExitCode.USAGE
        }
        if (contract == null) {
            System.err.println("$file: a contract has to be a JSON object")
            return ExitCode.USAGE
        }
        val id = changeId ?: "change-${UUID.randomUUID()}"
        System.err.println("change id: $id")
        val version = expectedVersion?.let(::JsonPrimitive) ?: contract["version"]
        val change = contract.filterKeys { it != "version" } + mapOf(
            "change_id" to JsonPrimitive(id),
            "expected_version" to (version ?: JsonPrimitive(0))
        )
        val body = JsonObject(change).toString().encodeToByteArray()
        val headers = mapOf("Content-Type" to "application/json")
        val path = "/v1/contracts/${segment(customerId)}"
        return run(CellCall("PUT", path, headers, body), ::printObject)
    }

    private fun readFile(): String = if (file.toString() == "-") {
        System.`in`.readBytes().decodeToString()
    } else {
        Files.readString(file)
    }
}
