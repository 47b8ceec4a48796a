package dev.jackdawdale.cli

import picocli.CommandLine.Option

/** Output formats. */
internal enum class OutputForm { TEXT, JSON }

/** Options of every command that calls a cell. */
internal class CellOptions {
    @Option(
        names = ["--host"],
        paramLabel = "URL",
        split = ",",
        description = [
            "Entry host; repeat the option to add hosts that are tried when one fails.",
            "Default: JACKDAWDALE_HOSTS, else http://127.0.0.1:7400"
        ]
    )
    var hosts: List<String> = emptyList()

    @Option(
        names = ["--token"],
        description = ["Bearer token. Prefer JACKDAWDALE_TOKEN: other users can see arguments."]
    )
    var token: String? = null

    @Option(
        names = ["--customer"],
        description = [
            "Customer, for cells without tokens and for operators. Default: JACKDAWDALE_CUSTOMER"
        ]
    )
    var customer: String? = null

    @Option(names = ["--output"], description = ["text or json. Default: \${DEFAULT-VALUE}"])
    var output: OutputForm = OutputForm.TEXT

    @Option(
        names = ["--retry-ms"],
        description = ["How long a call is retried at other hosts. Default: \${DEFAULT-VALUE}"]
    )
    var retryMs: Long = 10_000

    fun hostUrls(): List<String> = hosts.ifEmpty {
        System.getenv("JACKDAWDALE_HOSTS")?.split(',')?.map { it.trim() } ?: listOf(DEFAULT_HOST)
    }

    fun bearer(): String? = token ?: System.getenv("JACKDAWDALE_TOKEN")

    fun customerId(): String? = customer ?: System.getenv("JACKDAWDALE_CUSTOMER")

    /** A client that authenticates by token, or names the customer when there is no token. */
    fun client(): CellClient {
        val bearer = bearer()
        val headers = when {
            bearer != null -> mapOf("Authorization" to "Bearer $bearer")
            else -> customerId()?.let { mapOf("Jackdawdale-Customer" to it) }.orEmpty()
        }
        return CellClient(hostUrls(), headers, retryMs)
    }
}

private const val DEFAULT_HOST = "http://127.0.0.1:7400"
