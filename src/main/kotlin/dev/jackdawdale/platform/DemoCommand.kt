package dev.jackdawdale.platform

import dev.jackdawdale.cli.ExitCode
import dev.jackdawdale.outgoing.CallOutcome
import dev.jackdawdale.outgoing.CallerSettings
import dev.jackdawdale.outgoing.HttpCaller
import dev.jackdawdale.outgoing.OutgoingCall
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import picocli.CommandLine.Command

private const val OK = 200
private const val WORKERS = 3
private const val TIMEOUT_MS = 20_000L
private const val ASK_EVERY_MS = 50L
private const val CALL_TIMEOUT_MS = 2_000L
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
        "Runs one job through a process of the platform and stand-in workers on loopback.",
        "The build uses it to archive the classes that a start needs."
    ],
    footer = ["", "Example: jackdawdale platform-demo"],
    mixinStandardHelpOptions = true
)
internal class DemoCommand : Callable<Int> {
    override fun call(): Int {
        val folder = Files.createTempDirectory("jackdawdale-demo")
        try {
            return runBlocking { Demo(folder).run() }
        } finally {
            folder.toFile().deleteRecursively()
        }
    }
}

private class Demo(private val folder: Path) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpCaller(CallerSettings(), group)
    private val workers = List(WORKERS) { StandInWorker("w$it") }
    private val adviser = StandInAdviser()

    suspend fun run(): Int {
        adviser.open()
        workers.forEach { it.open() }
        val settings = settings(adviser.address)
        val host = PlatformHost(settings)
        host.start()
        try {
            return drive(settings)
        } finally {
            workers.forEach { it.close() }
            adviser.close()
        }
    }

    private suspend fun drive(settings: PlatformSettings): Int {
        val operators = settings.operators.toString()
        val callers = settings.callers.toString()
        val done = withTimeoutOrNull(TIMEOUT_MS) {
            until { call(operators, "PUT", "/config", configuration).first == OK }
            workers.forEach { worker ->
                val path = "/instances/${worker.id}"
                until { call(operators, "PUT", path, worker.reportBody("planning")).first == OK }
            }
            until { call(callers, "POST", "$QUEUE$JOB_ID", job).first == OK }
            until { "completed" in call(callers, "GET", "$QUEUE$JOB_ID", "").second }
        }
        workers.forEach { worker -> worker.notes.forEach { println("${worker.id} $it") } }
        println(if (done == null) "the job did not complete" else "the job is completed")
        return if (done == null) ExitCode.REFUSED else ExitCode.OK
    }

    private suspend fun until(condition: suspend () -> Boolean) {
        while (!condition()) delay(ASK_EVERY_MS)
    }

    private suspend fun call(
        address: String,
        method: String,
        path: String,
        body: String
    ): Pair<Int, String> {
        val outcome = CompletableDeferred<CallOutcome>()
        val call = OutgoingCall(method, path, body.encodeToByteArray(), CALL_TIMEOUT_MS)
        http.call(address, call, outcome::complete)
        val answer = outcome.await() as? CallOutcome.Answered ?: return 0 to ""
        return answer.status to answer.body.decodeToString()
    }

    private fun settings(adviserAddress: String): PlatformSettings {
        val peerPort = freePort()
        return PlatformSettings(
            hostName = "demo",
            hostIp = LOOPBACK,
            failureDomain = "local",
            peerPort = peerPort,
            seeds = listOf(Address(LOOPBACK, peerPort)),
            firstStart = true,
            dataFolder = folder,
            callers = Address(LOOPBACK, freePort()),
            readiness = Address(LOOPBACK, freePort()),
            operators = Address(LOOPBACK, freePort()),
            adviser = adviserAddress,
            lossesBorne = 0,
            gracePeriodMs = 0
        )
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }
}
