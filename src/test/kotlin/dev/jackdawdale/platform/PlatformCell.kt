package dev.jackdawdale.platform

import dev.jackdawdale.outgoing.CallOutcome
import dev.jackdawdale.outgoing.CallerSettings
import dev.jackdawdale.outgoing.HttpCaller
import dev.jackdawdale.outgoing.OutgoingCall
import dev.jackdawdale.testing.freePorts
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.nio.file.Files
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CompletableDeferred

private const val LOOPBACK = "127.0.0.1"
private const val CALL_TIMEOUT_MS = 5_000L

/** What a call got: status 0 means no answer. */
internal data class Got(val status: Int, val body: String)

/** One process of the platform with stand-in workers, all on loopback. */
internal class PlatformCell(val workers: List<StandInWorker>) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val http = HttpCaller(CallerSettings(), group)
    private val adviser = StandInAdviser()
    private val folder = Files.createTempDirectory("platform-cell")
    private val ports = freePorts(4)
    private val settings: PlatformSettings
    private val host: PlatformHost

    init {
        adviser.open()
        workers.forEach { it.open() }
        settings = PlatformSettings(
            hostName = "cell",
            hostIp = LOOPBACK,
            failureDomain = "local",
            peerPort = ports[0],
            seeds = listOf(Address(LOOPBACK, ports[0])),
            firstStart = true,
            dataFolder = folder,
            callers = Address(LOOPBACK, ports[1]),
            readiness = Address(LOOPBACK, ports[2]),
            operators = Address(LOOPBACK, ports[3]),
            adviser = adviser.address,
            lossesBorne = 0,
            gracePeriodMs = 0
        )
        host = PlatformHost(settings)
        host.start()
    }

    suspend fun operator(method: String, path: String, body: String = ""): Got =
        call(settings.operators.toString(), method, path, body)

    suspend fun caller(method: String, path: String, body: String = ""): Got =
        call(settings.callers.toString(), method, path, body)

    suspend fun readiness(): Got = call(settings.readiness.toString(), "GET", "/readiness", "")

    /** Waits until the configuration and all workers are in force. */
    suspend fun open(configuration: String, service: String) {
        eventually(20.seconds) {
            operator("PUT", "/config", configuration).status shouldBe 200
            readiness().status shouldBe 200
        }
        workers.forEach { worker ->
            val report = worker.reportBody(service)
            operator("PUT", "/instances/${worker.id}", report).status shouldBe 200
        }
    }

    override fun close() {
        host.stop()
        workers.forEach { it.close() }
        adviser.close()
        group.shutdownGracefully()
        folder.toFile().deleteRecursively()
    }

    private suspend fun call(address: String, method: String, path: String, body: String): Got {
        val outcome = CompletableDeferred<CallOutcome>()
        val call = OutgoingCall(method, path, body.encodeToByteArray(), CALL_TIMEOUT_MS)
        http.call(address, call, outcome::complete)
        val answer = outcome.await() as? CallOutcome.Answered ?: return Got(0, "")
        return Got(answer.status, answer.body.decodeToString())
    }
}
