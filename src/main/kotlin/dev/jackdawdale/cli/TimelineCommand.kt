package dev.jackdawdale.cli

import dev.jackdawdale.timeline.HostTimeline
import dev.jackdawdale.timeline.HostTimelineResult
import dev.jackdawdale.timeline.mergeTimelines
import dev.jackdawdale.timeline.timelineJson
import dev.jackdawdale.timeline.toChromeTrace
import dev.jackdawdale.timeline.toJson
import dev.jackdawdale.timeline.toText
import java.util.concurrent.Callable
import kotlinx.serialization.SerializationException
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Command(
    name = "timeline",
    description = [
        "Merges the events of all hosts named by --host in causal order.",
        "Names hosts that were not reached; the exit status is then 1."
    ],
    footer = [
        "",
        "Example: jackdawdale timeline glassworks/job-1 --host http://10.1.1.1:7400 \\",
        "           --host http://10.1.2.1:7400"
    ],
    mixinStandardHelpOptions = true
)
internal class TimelineCommand : Callable<Int> {
    @Mixin
    var cell = CellOptions()

    @Parameters(
        paramLabel = "SUBJECT",
        arity = "0..1",
        description = ["Work, task, endpoint, worker, host or customer id. Default: everything"]
    )
    var subject: String? = null

    @Option(names = ["--trace"], description = ["Prints Chrome's trace event format."])
    var trace: Boolean = false

    override fun call(): Int {
        val client = cell.client()
        val call = CellCall("GET", "/v1/timeline" + query("subject" to subject))
        val answers = cell.hostUrls().map { host -> read(host, client.callOne(host, call)) }
        val merged = mergeTimelines(answers)
        when {
            trace -> println(merged.toChromeTrace())
            cell.output == OutputForm.JSON -> println(merged.toJson())
            else -> print(merged.toText())
        }
        val unreached = answers.count { it is HostTimelineResult.Unreached }
        return when (unreached) {
            0 -> ExitCode.OK
            answers.size -> ExitCode.UNREACHABLE
            else -> ExitCode.REFUSED
        }
    }

    private fun read(host: String, answer: CellAnswer): HostTimelineResult = when (answer) {
        is CellAnswer.Answered -> if (answer.status == OK) {
            try {
                val text = answer.body.decodeToString()
                HostTimelineResult.Reached(timelineJson.decodeFromString<HostTimeline>(text))
            } catch (e: SerializationException) {
                HostTimelineResult.Unreached(host, "malformed answer: ${e.message}")
            }
        } else {
            HostTimelineResult.Unreached(host, "${answer.status} ${answer.message()}")
        }
        is CellAnswer.Unreachable -> HostTimelineResult.Unreached(host, answer.tried.joinToString())
        is CellAnswer.Lost -> HostTimelineResult.Unreached(host, answer.tried.joinToString())
    }
}

private const val OK = 200
