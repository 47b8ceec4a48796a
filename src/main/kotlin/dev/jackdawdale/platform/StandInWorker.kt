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
 */
internal class StandInWorker(
    val id: String,
    private val taskMs: Long = 50,
    private val clock: () -> Long = { System.nanoTime() / 1_000_000 },
    private val fault: (order: Int) -> OrderFault = { OrderFault() }
) : AutoCloseable {
    private class Running(val task: String, val run: Int, val spec: String)

    private class Ended(val number: Long, val task: String, val run: Int, val kind: String)

    private val timer: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "worker-$id") }
    private val running = LinkedHashMap<String, Running>()
    private val ended = ArrayList<Ended>()
    private val highestRun = HashMap<String, Int>()
    private val recorded = ArrayList<WorkerEvent>()
    private var highestTerm = 0L
    private var leaseUntilMs = 0L
    private var nextEndNumber = 1L
    private var startOrders = 0
    private var endRecorded = CompletableDeferred<Unit>()
    private var lastSequence = 0L
    private val startedAtMs = System.currentTimeMillis()

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
        put("clockMs", clock())
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
            handle(wireObject(call.body))
        } catch (e: MalformedBody) {
            text(BAD_REQUEST, e.problem)
        }
    }

    private suspend fun start(order: JsonObject): HttpResult {
        val injected = synchronized(this) { fault(++startOrders) }
        if (injected.answerLost) {
            timer.schedule({ startNow(order) }, injected.delayMs, TimeUnit.MILLISECONDS)
            delay(UNANSWERED_MS)
        }
        return startNow(order)?.let { result(CONFLICT) { put("reason", it) } } ?: result(OK)
    }

    /** Starts the run. Returns the reason of a refusal, or null when it runs. */
    @Synchronized
    private fun startNow(order: JsonObject): String? {
        val task = order.text("task")
        val run = order.long("run").toInt()
        val term = order.longOrNull("fencingToken") ?: 0
        if (term < highestTerm) return "fence"
        highestTerm = term
        val deadlineMs = order.long("deadlineMs")
        if (deadlineMs < clock()) return "late"
        leaseUntilMs = maxOf(leaseUntilMs, deadlineMs)
        if (running[task]?.run == run) return null
        if (run <= (highestRun[task] ?: 0)) return "old"
        if (task in running) end(running.getValue(task), "broken")
        val started = Running(task, run, order.textOrNull("spec").orEmpty())
        running[task] = started
        recorded += WorkerEvent("started", task, run)
        timer.schedule({ finish(started) }, taskMs, TimeUnit.MILLISECONDS)
        return null
    }

    @Synchronized
    private fun finish(run: Running) {
        if (running[run.task] === run) end(run, "done")
    }

    @Synchronized
    private fun end(run: Running, kind: String) {
        running.remove(run.task)
        highestRun[run.task] = maxOf(highestRun[run.task] ?: 0, run.run)
        ended += Ended(nextEndNumber++, run.task, run.run, kind)
        recorded += WorkerEvent(kind, run.task, run.run)
        endRecorded.complete(Unit)
        endRecorded = CompletableDeferred()
    }

    @Synchronized
    private fun endIfLeaseLapsed() {
        if (clock() > leaseUntilMs) running.values.toList().forEach { end(it, "lapsed") }
    }

    @Synchronized
    private fun stopNow(order: JsonObject) {
        val term = order.longOrNull("fencingToken") ?: 0
        if (term < highestTerm) return
        highestTerm = term
        val task = order.text("task")
        val run = order.long("run").toInt()
        running[task]?.takeIf { it.run == run }?.let { end(it, "stopped") }
        highestRun[task] = maxOf(highestRun[task] ?: 0, run)
    }

    private suspend fun stop(order: JsonObject): HttpResult {
        stopNow(order)
        return result(OK)
    }

    private suspend fun hold(request: JsonObject): HttpResult {
        val nextEnd = acknowledge(request)
        val waitMs = request.longOrNull("waitMs") ?: 0
        if (nextEnd != null && waitMs > 0) withTimeoutOrNull(waitMs) { nextEnd.await() }
        return runLists()
    }

    /** Removes acknowledged ends. Returns what to wait for, or null when other ends remain. */
    @Synchronized
    private fun acknowledge(request: JsonObject): CompletableDeferred<Unit>? {
        val term = request.longOrNull("fencingToken") ?: 0
        if (term >= highestTerm) {
            highestTerm = term
            request.longOrNull("deadlineMs")?.let { leaseUntilMs = maxOf(leaseUntilMs, it) }
            val cursor = request.longOrNull("ackCursor") ?: 0
            ended.removeAll { it.number <= cursor }
        }
        return endRecorded.takeIf { ended.isEmpty() }
    }

    @Synchronized
    private fun runLists(): HttpResult = result(OK) {
        put("born", startedAtMs)
        putJsonArray("running") {
            running.values.forEach {
                addJsonArray {
                    add(it.task)
                    add(it.run)
                    add("")
                    add(0)
                }
            }
        }
        putJsonArray("endedRuns") {
            ended.forEach {
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

    private fun result(status: Int, build: JsonObjectBuilder.() -> Unit = {}): HttpResult =
        json(status) {
            put("clockMs", clock())
            build()
        }

    private companion object {
        /** Longer than any caller waits for the answer to an order. */
        const val UNANSWERED_MS = 30_000L
    }
}
