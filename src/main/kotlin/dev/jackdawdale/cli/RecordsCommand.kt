package dev.jackdawdale.cli

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import picocli.CommandLine.Command
import picocli.CommandLine.Option

@Command(
    name = "records",
    description = ["Prints the permanent records of ended work, oldest first."],
    footer = ["", "Example: jackdawdale records --customer glassworks --outcome may_have_run"]
)
internal class RecordsCommand : CellCommand() {
    @Option(names = ["--outcome"], description = ["Only records with this outcome."])
    var outcome: String? = null

    @Option(names = ["--from-ms"], description = ["Ended at or after, ms since the epoch."])
    var fromMs: Long? = null

    @Option(names = ["--to-ms"], description = ["Ended before, ms since the epoch."])
    var toMs: Long? = null

    @Option(names = ["--from-number"], description = ["First record number."])
    var fromNumber: Long = 0

    @Option(names = ["--limit"], description = ["Maximum records. Default: \${DEFAULT-VALUE}"])
    var limit: Int = 1_000

    override fun call(): Int {
        val rows = mutableListOf<JsonObject>()
        var next: Long? = fromNumber
        while (next != null && rows.size < limit) {
            val page = CellCall("GET", "/v1/records" + pageQuery(next, limit - rows.size))
            val status = run(page) { answer ->
                rows += answer.body.decodeToString().lineSequence().filter { it.isNotBlank() }
                    .map { Json.parseToJsonElement(it) as JsonObject }
                next = answer.headers["jackdawdale-next-number"]?.toLongOrNull()
                ExitCode.OK
            }
            if (status != ExitCode.OK) return status
        }
        print(rows)
        return ExitCode.OK
    }

    private fun pageQuery(next: Long, remaining: Int) = query(
        "customer" to cell.customerId(),
        "outcome" to outcome,
        "from_ms" to fromMs,
        "to_ms" to toMs,
        "from_number" to next,
        "limit" to remaining
    )

    private fun print(rows: List<JsonObject>) {
        if (cell.output == OutputForm.JSON) rows.forEach(::println) else print(table(rows, shown))
    }
}

private val shown = columns(
    "number",
    "work_id",
    "kind",
    "outcome",
    "reason",
    "attempts",
    "last_placed_at",
    "contract_version",
    "accepted_at_ms",
    "ended_at_ms"
)
