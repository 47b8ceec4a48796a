package dev.jackdawdale.cli

import java.util.UUID
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters

@Serializable
private data class JobRequest(
    val requestId: String,
    val kind: String,
    val taskCount: Int,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long,
    val timeLimitMs: Long?,
    val urgency: String,
    val payload: String
)

private val requestJson = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    explicitNulls = false
}

/** A command for one work item that can wait for its end. */
internal abstract class WorkCommand : CellCommand() {
    @Option(names = ["--wait"], description = ["Waits until the work has ended."])
    var wait: Boolean = false

    @Option(names = ["--wait-ms"], description = ["Maximum wait. Default: \${DEFAULT-VALUE}"])
    var waitMs: Long = 3_600_000

    protected fun statusCall(id: String) =
        CellCall("GET", "/v1/work/${segment(id)}" + query("customer" to cell.customerId()))

    /** Prints the status of [id] from [answer]; with `--wait`, waits for its end first. */
    protected fun showWork(id: String, answer: CellAnswer.Answered): Int {
        if (!wait || answer.text("stage") == "ended") return showStatus(answer)
        val endNs = System.nanoTime() + waitMs * NS_PER_MS
        val progress = Progress()
        var latest = answer
        while (latest.text("stage") != "ended") {
            if (System.nanoTime() > endNs) {
                progress.clear()
                System.err.println("the work has not ended within $waitMs ms")
                showStatus(latest)
                return ExitCode.UNKNOWN
            }
            progress.show(progressLine(id, latest))
            Thread.sleep(POLL_MS)
            val next = cell.client().call(statusCall(id))
            if (next !is CellAnswer.Answered || next.status != OK) {
                progress.clear()
                return finish(next) { ExitCode.OK }
            }
            latest = next
        }
        progress.clear()
        return showStatus(latest)
    }

    private fun showStatus(answer: CellAnswer.Answered): Int {
        printObject(answer)
        return when (answer.text("outcome")) {
            null, "succeeded" -> ExitCode.OK
            "may_have_run" -> ExitCode.UNKNOWN
            else -> ExitCode.REFUSED
        }
    }

    private fun progressLine(id: String, answer: CellAnswer.Answered): String {
        val tasks = "${answer.text("tasks_succeeded")}/${answer.text("task_count")} tasks done"
        val reason = answer.text("waiting_reason")?.let { ", waiting: $it" }.orEmpty()
        return "$id: ${answer.text("stage")}, $tasks$reason"
    }
}

@Command(
    name = "submit",
    description = ["Submits a job: a service, a batch or a gang."],
    footer = [
        "",
        "Example: jackdawdale submit --kind gang --tasks 4 --cpu-millis 2000 --memory-mib 512 \\",
        "           --payload run_ms=5000 --time-limit-ms 60000 --customer glassworks --wait"
    ]
)
internal class SubmitCommand : WorkCommand() {
    @Option(names = ["--request-id"], description = ["Id of the job. Default: a random one"])
    var requestId: String? = null

    @Option(names = ["--kind"], description = ["batch, gang or service. Default: batch"])
    var kind: String = "batch"

    @Option(names = ["--tasks"], description = ["Number of tasks. Default: \${DEFAULT-VALUE}"])
    var tasks: Int = 1

    @Option(names = ["--cpu-millis"], description = ["For each task. Default: \${DEFAULT-VALUE}"])
    var cpuMillis: Long = 1_000

    @Option(names = ["--memory-mib"], description = ["For each task. Default: \${DEFAULT-VALUE}"])
    var memoryMib: Long = 256

    @Option(names = ["--accelerators"], description = ["For each task."])
    var accelerators: Long = 0

    @Option(names = ["--time-limit-ms"], description = ["Maximum run time of a task."])
    var timeLimitMs: Long? = null

    @Option(names = ["--urgency"], description = ["urgent, normal or deferrable."])
    var urgency: String = "normal"

    @Option(names = ["--payload"], description = ["Text for the worker."])
    var payload: String = ""

    override fun call(): Int {
        val id = requestId ?: "job-${UUID.randomUUID()}"
        System.err.println("request id: $id")
        val json = requestJson.encodeToString(
            JobRequest(
                id,
                kind,
                tasks,
                cpuMillis,
                memoryMib,
                accelerators,
                timeLimitMs,
                urgency,
                payload
            )
        )
        val headers = mapOf("Content-Type" to "application/json")
        return run(CellCall("POST", "/v1/jobs", headers, json.encodeToByteArray())) {
            showWork(id, it)
        }
    }
}

@Command(
    name = "status",
    description = ["Shows the status of a work item."],
    footer = ["", "Example: jackdawdale status job-1 --customer glassworks --wait"]
)
internal class StatusCommand : WorkCommand() {
    @Parameters(paramLabel = "REQUEST_ID", description = ["Id that it was submitted with."])
    var id: String = ""

    override fun call(): Int = run(statusCall(id)) { showWork(id, it) }
}

@Command(
    name = "cancel",
    description = ["Cancels a work item; the answer says whether it may have run."],
    footer = ["", "Example: jackdawdale cancel job-1 --customer glassworks"]
)
internal class CancelCommand : CellCommand() {
    @Parameters(paramLabel = "REQUEST_ID", description = ["Id that it was submitted with."])
    var id: String = ""

    override fun call(): Int {
        val path = "/v1/work/${segment(id)}" + query("customer" to cell.customerId())
        return run(CellCall("DELETE", path), ::printObject)
    }
}

private const val OK = 200
private const val POLL_MS = 250L
private const val NS_PER_MS = 1_000_000L
