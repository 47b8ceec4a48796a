package dev.jackdawdale.cli

import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID
import picocli.CommandLine.ArgGroup
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Command(
    name = "call",
    description = [
        "Sends one request to a service and prints its answer.",
        "The request id is printed first, on standard error. After a lost answer the request is",
        "sent to the next host with the same id, so that it runs once."
    ],
    footer = [
        "",
        "Example: jackdawdale call planning --customer glassworks --data 'run_ms=20 order 17'"
    ]
)
internal class CallCommand : CellCommand() {
    @Parameters(paramLabel = "SERVICE", description = ["Service to call."])
    var service: String = ""

    @ArgGroup(exclusive = true)
    var source: Source? = null

    class Source {
        @Option(names = ["--data"], description = ["Body of the request."])
        var data: String? = null

        @Option(names = ["--file"], description = ["File with the body; - for standard input."])
        var file: Path? = null
    }

    @Option(names = ["--request-id"], description = ["Id of the request. Default: a random one"])
    var requestId: String? = null

    @Option(
        names = ["--idempotent"],
        description = ["The request may run again after a broken attempt."]
    )
    var idempotent: Boolean = false

    @Option(names = ["--kind"], description = ["Label of requests with similar run times."])
    var kind: String? = null

    @Option(names = ["--declared-ms"], description = ["Estimated run time."])
    var declaredMs: Long? = null

    @Option(
        names = ["--deadline-ms"],
        description = ["Deadline of the request. Default: \${DEFAULT-VALUE}"]
    )
    var deadlineMs: Long = 30_000

    @Option(names = ["--urgency"], description = ["urgent, normal or deferrable."])
    var urgency: String? = null

    @Option(
        names = ["--content-type"],
        description = ["Content type of the body. Default: \${DEFAULT-VALUE}"]
    )
    var contentType: String = "application/octet-stream"

    @Option(names = ["--async"], description = ["Prints the status and does not wait for the end."])
    var async: Boolean = false

    override fun call(): Int {
        val id = requestId ?: "call-${UUID.randomUUID()}"
        System.err.println("request id: $id")
        val call = CellCall(
            "POST",
            "/v1/services/${segment(service)}/requests",
            requestHeaders(id),
            body(),
            deadlineMs + ANSWER_MARGIN_MS
        )
        return run(call) { answer ->
            if (async) {
                printObject(answer)
            } else {
                System.out.write(answer.body)
                System.out.flush()
                if (cell.output == OutputForm.TEXT) System.err.println(summary(answer))
                ExitCode.OK
            }
        }
    }

    private fun body(): ByteArray {
        val file = source?.file
        return when {
            file == null -> source?.data.orEmpty().encodeToByteArray()
            file.toString() == "-" -> System.`in`.readBytes()
            else -> Files.readAllBytes(file)
        }
    }

    private fun requestHeaders(id: String): Map<String, String> = buildMap {
        put("Jackdawdale-Request-Id", id)
        put("Jackdawdale-Idempotent", "$idempotent")
        put("Jackdawdale-Deadline-Ms", "$deadlineMs")
        put("Content-Type", contentType)
        kind?.let { put("Jackdawdale-Kind", it) }
        declaredMs?.let { put("Jackdawdale-Declared-Ms", "$it") }
        urgency?.let { put("Jackdawdale-Urgency", it) }
        if (async) put("Prefer", "respond-async")
    }

    private fun summary(answer: CellAnswer.Answered): String {
        val outcome = answer.headers["jackdawdale-outcome"] ?: "unknown"
        val attempts = answer.headers["jackdawdale-attempts"]?.let { ", attempts: $it" }.orEmpty()
        return "\noutcome: $outcome, answered by ${answer.host}$attempts"
    }
}

// An entry host answers no later than 5 s after the deadline.
private const val ANSWER_MARGIN_MS = 7_000L
