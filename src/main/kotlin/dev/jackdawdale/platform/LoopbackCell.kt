package dev.jackdawdale.platform

import dev.jackdawdale.outgoing.CallOutcome
import dev.jackdawdale.outgoing.HttpCaller
import dev.jackdawdale.outgoing.HttpCallerSettings
import dev.jackdawdale.outgoing.OutgoingCall
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.nio.file.Files
import kotlinx.coroutines.CompletableDeferred

private const val LOOPBACK = "127.0.0.1"
private const val CALL_TIMEOUT_MS = 5_000L

/** The result of a call; status 0 means that no answer arrived. */
internal data class CallResult(val status: Int, val body: String)

/**
 * One process of the platform with stand-in workers and an adviser, all on loopback, for tests and
 * demonstrations.
 *
 * @param ports five free ports
 */
internal class LoopbackCell(val workers: List<StandInWorker>, ports: List<Int>) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpCaller(HttpCallerSettings(), group)
    private val adviser = StandInAdviser()
    private val folder = Files.createTempDirectory("jackdawdale-platform")
    private val callers = Address(LOOPBACK, ports[1])
    private val readiness = Address(LOOPBACK, ports[2])
    private val operators = Address(LOOPBACK, ports[3])
    private val metrics = Address(LOOPBACK, ports[4])
    private val host: PlatformHost

    init {
        adviser.open()
        workers.forEach { it.open() }
        host = PlatformHost(
            PlatformSettings(
                hostName = "loopback",
                hostIp = LOOPBACK,
                failureDomain = "local",
                peerPort = ports[0],
                seeds = listOf(Address(LOOPBACK, ports[0])),
                firstStart = true,
                dataFolder = folder,
                callers = callers,
                readiness = readiness,
                operators = operators,
                metrics = metrics,
                adviser = adviser.address,
                toleratedLosses = 0,
                gracePeriodMs = 0
            )
        )
        host.start()
    }

    suspend fun operator(method: String, path: String, body: String = ""): CallResult =
        call(operators, method, path, body)

    suspend fun caller(method: String, path: String, body: String = ""): CallResult =
        call(callers, method, path, body)

    suspend fun readiness(): CallResult = call(readiness, "GET", "/readiness", "")

    suspend fun metrics(): CallResult = call(metrics, "GET", "/metrics", "")

    override fun close() {
        host.stop()
        workers.forEach { it.close() }
        adviser.close()
        group.shutdownGracefully()
        folder.toFile().deleteRecursively()
    }

    private suspend fun call(to: Address, method: String, path: String, body: String): CallResult {
        val outcome = CompletableDeferred<CallOutcome>()
        val call = OutgoingCall(method, path, body.encodeToByteArray(), CALL_TIMEOUT_MS)
        http.call(to.toString(), call, outcome::complete)
        val answer = outcome.await() as? CallOutcome.Answered ?: return CallResult(0, "")
        return CallResult(answer.status, answer.body.decodeToString())
    }
}
