package dev.jackdawdale.standin

import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString

@Serializable
internal data class EndpointAnnouncement(
    val incarnation: Long,
    val service: String,
    val address: String,
    val port: Int,
    val slots: Int,
    val connections: Int,
    val failureDomain: String,
    val leaving: Boolean,
    val running: List<Long>
)

/**
 * An endpoint for tests and trials. It announces itself every second at any entry host that
 * answers, runs requests as timers and answers each with a [Mark].
 *
 * Example: `SampleEndpoint(options).use { it.start() ... }`.
 */
internal class SampleEndpoint(private val options: EndpointOptions) : AutoCloseable {
    private val incarnation = System.currentTimeMillis()
    private val journal = options.journal?.let(::Journal)
    private val entryHosts = EntryHosts(options.entryUrls, options.token)
    private val announcer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "announce").apply { isDaemon = true }
    }
    private val leaving = AtomicBoolean()
    private val inFlight = AtomicInteger()
    private val runningTokens = ConcurrentHashMap.newKeySet<Long>()
    private val random = Random(options.seed)
    private var received = 0L
    private val server = EndpointServer(RunListener(::plan, ::started, ::ended))
    private var port = 0
    private var wasAnnounced: Boolean? = null

    /** Starts listening and announcing; returns the port. */
    fun start(): Int {
        port = server.start(options.address, options.port)
        write(JournalEvent.UP) { it.copy(slots = options.slots) }
        announcer.scheduleWithFixedDelay(::announce, 0, ANNOUNCE_INTERVAL_MS, TimeUnit.MILLISECONDS)
        return port
    }

    /** Announces that it is leaving and waits for the requests in flight. */
    fun leave() {
        leaving.set(true)
        announcer.submit(::announce).get()
        write(JournalEvent.LEAVING) { it.copy(inUse = inFlight.get()) }
        // Requests that were sent before the cell processed the announcement may still arrive.
        val settledAtMs = System.currentTimeMillis() + SETTLE_MS
        while (inFlight.get() > 0 || System.currentTimeMillis() < settledAtMs) {
            Thread.sleep(LEAVE_CHECK_INTERVAL_MS)
        }
    }

    override fun close() {
        announcer.shutdownNow()
        server.close()
        write(JournalEvent.DOWN) { it }
        journal?.close()
    }

    private fun announce() {
        val json = snakeJson.encodeToString(
            EndpointAnnouncement(
                incarnation,
                options.service,
                options.address,
                options.announcePort ?: port,
                options.slots,
                options.connections,
                options.failureDomain,
                leaving.get(),
                runningTokens.toList()
            )
        )
        val path = "/v1/endpoints/${options.id}/announce"
        val problem = try {
            val response = entryHosts.post(path, json, ANNOUNCE_TIMEOUT_MS)
            if (response.statusCode() == OK) null else "${response.statusCode()} ${response.body()}"
        } catch (e: IOException) {
            e.message ?: e.javaClass.simpleName
        } catch (_: InterruptedException) {
            return
        }
        report(problem)
    }

    // Prints only changes: an outage gives two lines, not one every second.
    private fun report(problem: String?) {
        val isAnnounced = problem == null
        if (isAnnounced != wasAnnounced) {
            val state = if (isAnnounced) "is announced" else "is not announced: $problem"
            System.err.println("endpoint ${options.id} $state")
        }
        wasAnnounced = isAnnounced
    }

    private fun plan(run: Run): RunPlan {
        received++
        val asked = directives(run.body.decodeToString(0, minOf(run.body.size, DIRECTIVE_BYTES)))
        val spread = if (options.runSpreadMs > 0) random.nextLong(options.runSpreadMs) else 0
        val result = when {
            asked.fail || isEvery(options.failEvery) -> RESULT_FAILED
            asked.cut || isEvery(options.cutEvery) -> RESULT_CUT
            else -> RESULT_SUCCEEDED
        }
        val filler = "x".repeat(asked.answerBytes ?: 0)
        val mark = Mark(run.workId, run.token, sha256Hex(run.body), options.id, filler)
        return RunPlan(asked.runMs ?: (options.runMs + spread), result, mark)
    }

    private fun isEvery(count: Int): Boolean = count > 0 && received % count == 0L

    private fun started(run: Run) {
        runningTokens += run.token
        val inUse = inFlight.incrementAndGet()
        write(JournalEvent.START) { it.of(run).copy(inUse = inUse) }
    }

    private fun ended(run: Run, result: String) {
        val inUse = inFlight.decrementAndGet()
        runningTokens -= run.token
        write(JournalEvent.END) { it.of(run).copy(inUse = inUse, result = result) }
    }

    private fun JournalLine.of(run: Run) =
        copy(workId = run.workId, token = run.token, bodySha256 = sha256Hex(run.body))

    private fun write(event: JournalEvent, fill: (JournalLine) -> JournalLine) {
        val line = JournalLine(System.currentTimeMillis(), options.id, incarnation, event)
        journal?.write(fill(line))
    }
}

private const val ANNOUNCE_INTERVAL_MS = 1_000L
private const val ANNOUNCE_TIMEOUT_MS = 2_000L
private const val SETTLE_MS = 2_500L
private const val LEAVE_CHECK_INTERVAL_MS = 20L
private const val DIRECTIVE_BYTES = 256
private const val OK = 200
