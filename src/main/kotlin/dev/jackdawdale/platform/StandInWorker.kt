package dev.jackdawdale.platform

import dev.jackdawdale.entry.Access
import dev.jackdawdale.entry.AuthMode
import dev.jackdawdale.entry.HttpCall
import dev.jackdawdale.entry.HttpResult
import dev.jackdawdale.entry.HttpServer
import dev.jackdawdale.entry.HttpSettings
import dev.jackdawdale.entry.Route
import dev.jackdawdale.entry.httpServer
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

private const val LEASE_CHECK_INTERVAL_MS = 20L

/**
 * How a stand-in worker mishandles a start order.
 *
 * @property answerLost whether the answer comes only after the caller's timeout
 * @property delayMs delay before an order with a lost answer is executed
 */
internal data class OrderFault(val answerLost: Boolean = false, val delayMs: Long = 0)

/** Start or end of a run on a stand-in worker. */
internal data class WorkerEvent(val kind: String, val task: String, val run: Int)

/**
 * A simulated worker for tests and demonstrations, with fencing tokens, leases and lists of runs.
 * Each task runs for [taskMs]; [fault] sets the fault of the nth start order, counted from 1.
 *
 * @param maxHoldMs longest lease; a longer one is cut to it
 * @param clockSlowShare share by which the worker's clock is slower than [clock]
 * @param firstClockMs the worker's clock when its first life begins; later lives begin at 0
 * @param clock a steady clock in milliseconds
 */
internal class StandInWorker(
    val id: String,
    private val taskMs: Long = 50,
    private val maxHoldMs: Long = 6_000,
    private val clockSlowShare: Double = 0.0,
    firstClockMs: Long = 0,
    private val clock: () -> Long = { System.nanoTime() / 1_000_000 },
    private val fault: (order: Int) -> OrderFault = { OrderFault() }
) : AutoCloseable {
    private val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "worker-$id") }
    private val recorded = ArrayList<WorkerEvent>()
    private var startOrders = 0
    private var endRecorded = CompletableDeferred<Unit>()
    private var lastSequence = 0L
    private var startedAtMs = System.currentTimeMillis()

    @Volatile
    private var life = begin(firstClockMs)

    private val server: HttpServer = httpServer(
        HttpSettings(threads = 1, authMode = AuthMode.PRIVATE_NETWORK),
        listOf(
            Route("POST", "/run-start", Access.ANYONE) { guarded(it, ::start) },
            Route("POST", "/run-stop", Access.ANYONE) { guarded(it, ::stop) },
            Route("POST", "/hold", Access.ANYONE) { guarded(it, ::hold) }
        )
    )

    val address: String get() = "127.0.0.1:${server.port}"

    /** Starts and ends of runs so far, in order. */
    val events: List<WorkerEvent> @Synchronized get() = recorded.toList()

    fun open() {
        server.start()
        timer.scheduleWithFixedDelay(
            ::endIfLeaseLapsed,
            LEASE_CHECK_INTERVAL_MS,
            LEASE_CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS
        )
    }

    override fun close() {
        timer.shutdownNow()
        server.close()
    }

    /** Starts the process again at the same address under the same id: all its runs are lost. */
    @Synchronized
    fun restart() {
        life.running.forEach { record(WorkerEvent("lost", it.task, it.run)) }
        life = begin(clockStartMs = 0)
        lastSequence = 0
        startedAtMs = maxOf(startedAtMs + 1, System.currentTimeMillis())
    }

    private fun begin(clockStartMs: Long) =
        StandInLife(clock(), maxHoldMs, clockSlowShare, clockStartMs, ::record)

    private fun record(event: WorkerEvent) {
        recorded += event
        if (event.kind == "started") return
        endRecorded.complete(Unit)
        endRecorded = CompletableDeferred()
    }

    /** The body of the worker's next status report. */
    @Synchronized
    fun reportBody(service: String, draining: Boolean = false): String = buildJsonObject {
        put("service", service)
        put("address", address)
        put("zone", "local")
        put("version", "v1")
        put("slots", 8)
        put("state", if (draining) "draining" else "ready")
        put("coldRemainingMs", 0)
        putJsonObject("capacity") {
            put("cpu", 16_000)
            put("memMb", 32_768)
            put("gpu", 0)
        }
        putJsonArray("labels") {
            add("a")
            add("r1-1")
        }
        put("clockMs", life.clockMs(clock()))
        put("born", startedAtMs)
        put("sequence", ++lastSequence)
    }.toString()

    private suspend fun guarded(
        call: HttpCall,
        handle: suspend (JsonObject) -> HttpResult
    ): HttpResult {
        val expected = call.headers["Expect-Instance"]
        if (expected != null && expected != id) return result(OTHER_BOOT)
        return try {
            val called = life
            handle(wireObject(call.body)).also {
                // The answer of a process that has ended never arrives.
                if (called !== life) delay(UNANSWERED_MS)
            }
        } catch (e: MalformedBody) {
            text(BAD_REQUEST, e.problem)
        }
    }

    private suspend fun start(body: JsonObject): HttpResult {
        val injected = synchronized(this) { fault(++startOrders) }
        val order = StandInOrder(
            body.text("task"),
            body.long("run").toInt(),
            body.long("deadlineMs"),
            body.longOrNull("fencingToken") ?: 0
        )
        if (injected.answerLost) {
            timer.schedule({ startNow(order) }, injected.delayMs, TimeUnit.MILLISECONDS)
            delay(UNANSWERED_MS)
        }
        return startNow(order)?.let { result(CONFLICT) { put("reason", it) } } ?: result(OK)
    }

    @Synchronized
    private fun startNow(order: StandInOrder): String? {
        val current = life
        val isThere = StandInRun(order.task, order.run) in current.running
        val refusal = current.start(order, clock())
        if (refusal == null && !isThere) {
            timer.schedule({ finish(current, order) }, taskMs, TimeUnit.MILLISECONDS)
        }
        return refusal
    }

    @Synchronized
    private fun finish(current: StandInLife, order: StandInOrder) {
        if (current === life) current.finish(order.task, order.run)
    }

    @Synchronized
    private fun endIfLeaseLapsed() = life.endLapsed(clock())

    @Synchronized
    private fun stopNow(order: JsonObject) = life.stop(
        order.text("task"),
        order.long("run").toInt(),
        order.longOrNull("fencingToken") ?: 0
    )

    private suspend fun stop(order: JsonObject): HttpResult {
        stopNow(order)
        return result(OK)
    }

    private suspend fun hold(request: JsonObject): HttpResult {
        val nextEnd = holdNow(request)
        val waitMs = request.longOrNull("waitMs") ?: 0
        if (nextEnd != null && waitMs > 0) withTimeoutOrNull(waitMs) { nextEnd.await() }
        return runLists()
    }

    /** Carries out the request. Returns what to wait for, or null when ends can be listed. */
    @Synchronized
    private fun holdNow(request: JsonObject): CompletableDeferred<Unit>? {
        life.hold(
            request.longOrNull("fencingToken") ?: 0,
            request.longOrNull("deadlineMs"),
            request.longOrNull("ackCursor") ?: 0,
            clock()
        )
        return endRecorded.takeIf { life.ended.isEmpty() }
    }

    @Synchronized
    private fun runLists(): HttpResult = result(OK) {
        put("born", startedAtMs)
        putJsonArray("running") {
            life.running.forEach {
                addJsonArray {
                    add(it.task)
                    add(it.run)
                    add("")
                    add(0)
                }
            }
        }
        putJsonArray("endedRuns") {
            life.ended.forEach {
                addJsonArray {
                    add(it.number)
                    add(it.task)
                    add(it.run)
                    add(it.kind)
                    add("")
                }
            }
        }
    }

    @Synchronized
    private fun result(status: Int, build: JsonObjectBuilder.() -> Unit = {}): HttpResult =
        json(status) {
            put("clockMs", life.clockMs(clock()))
            build()
        }

    private companion object {
        /** Longer than any caller waits for the answer to an order. */
        const val UNANSWERED_MS = 30_000L
    }
}
