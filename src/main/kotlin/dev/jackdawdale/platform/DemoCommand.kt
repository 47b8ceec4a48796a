package dev.jackdawdale.platform

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.telemetry.LogConfig
import dev.jackdawdale.telemetry.configureLogging
import java.net.ServerSocket
import java.util.concurrent.Callable
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.Level
import picocli.CommandLine.Command
import picocli.CommandLine.Option

private const val WORKERS = 3
private const val PORTS = 5
private const val TIMEOUT_MS = 20_000L
private const val POLL_INTERVAL_MS = 50L
private const val LOOPBACK = "127.0.0.1"
private const val QUEUE = "/plans/"
private const val JOB_ID = "5c0e7a21d94b36f8"

private val configuration = """
{"version":1,"routes":[{"name":"plans","host":"$LOOPBACK","pathPrefix":"$QUEUE","type":"unsafe",
"timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"planning","maxAttempts":3,
"stretch":2.0,"advice":{"decisionMs":1.0,"perWorkerMs":0.1,"validityMs":2000}}],
"services":[{"name":"planning"}],"limits":{}}
""".trimIndent()

private val job = """
{"spec":"order 17","steps":[{"count":3,"cpu":1000,"memMb":64,"estimatedMs":50},
{"count":2,"cpu":2000,"memMb":64,"estimatedMs":50,"gang":true,"after":[0]}]}
""".trimIndent()

@Command(
    name = "platform-demo",
    description = [
        "Runs one job on loopback, through a platform process and stand-in workers.",
        "The build uses it to archive the classes that are loaded at startup."
    ],
    footer = ["", "Example: jackdawdale platform-demo"],
    mixinStandardHelpOptions = true
)
internal class DemoCommand : Callable<Int> {
    @Option(names = ["--logs"], description = ["Also writes the log lines of the process."])
    private var writesLogs = false

    override fun call(): Int {
        if (writesLogs) {
            val incarnation = System.currentTimeMillis()
            configureLogging(LogConfig(true, Level.INFO, "loopback", incarnation))
        }
        val workers = List(WORKERS) { StandInWorker("w$it") }
        val isDone = LoopbackCell(workers, freePorts()).use { cell ->
            runBlocking { withTimeoutOrNull(TIMEOUT_MS) { runJob(cell) } } != null
        }
        workers.forEach { worker -> worker.events.forEach { println("${worker.id} $it") } }
        println(if (isDone) "the job is completed" else "the job did not complete")
        return if (isDone) ExitCode.OK else ExitCode.REFUSED
    }

    private suspend fun runJob(cell: LoopbackCell) {
        pollUntil { cell.operator("PUT", "/config", configuration).status == OK }
        cell.workers.forEach { worker ->
            val report = worker.reportBody("planning")
            pollUntil { cell.operator("PUT", "/instances/${worker.id}", report).status == OK }
        }
        pollUntil { cell.caller("POST", "$QUEUE$JOB_ID", job).status == OK }
        pollUntil { cell.metrics().status == OK }
        pollUntil { "completed" in cell.caller("GET", "$QUEUE$JOB_ID").body }
    }

    private suspend fun pollUntil(condition: suspend () -> Boolean) {
        while (!condition()) delay(POLL_INTERVAL_MS)
    }

    private fun freePorts(): List<Int> {
        val sockets = List(PORTS) { ServerSocket(0) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }
}
