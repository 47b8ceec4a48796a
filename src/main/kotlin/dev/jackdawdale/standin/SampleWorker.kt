package dev.jackdawdale.standin

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskResult
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString

/** The clocks of a sample worker: wall clock, and a monotonic clock for its lease. */
internal class WorkerClock(
    val nowMs: () -> Long = System::currentTimeMillis,
    val nanos: () -> Long = System::nanoTime
)

/**
 * A worker for tests and trials. It polls any entry host that answers, runs tasks as timers and
 * stops them when its lease expires.
 *
 * All state is changed on one thread; another thread waits for the polls.
 */
internal class SampleWorker(
    private val options: WorkerOptions,
    private val clock: WorkerClock = WorkerClock()
) : AutoCloseable {
    private val incarnation = System.currentTimeMillis()
    private val journal = options.journal?.let(::Journal)
    private val entryHosts = EntryHosts(options.entryUrls, options.token)
    private val table = TaskTable(options.runMs, options.failAll)
    private val state = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "tasks").apply { isDaemon = true }
    }
    private val poller = Thread(::poll, "poll").apply { isDaemon = true }
    private val leaving = AtomicBoolean()
    private val stopping = AtomicBoolean()
    private val drained = CountDownLatch(1)
    private var leaseEndsAtNs: Long? = null
    private var wasAnnounced: Boolean? = null

    fun start() {
        write(JournalEvent.UP) {
            it.copy(
                cpuMillis = options.cpuMillis,
                memoryMib = options.memoryMib,
                accelerators = options.accelerators
            )
        }
        state.scheduleWithFixedDelay(::checkTimers, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        poller.start()
    }

    /**
     * Announces that it is leaving and waits until all tasks have ended and the cell has
     * acknowledged the ends, for at most [timeoutMs].
     */
    fun leave(timeoutMs: Long) {
        leaving.set(true)
        write(JournalEvent.LEAVING) { it }
        drained.await(timeoutMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        stopping.set(true)
        poller.interrupt()
        poller.join(JOIN_TIMEOUT_MS)
        state.submit { stopTasks(clock.nowMs(), "worker stopped") }.get()
        state.shutdownNow()
        write(JournalEvent.DOWN) { it }
        journal?.close()
    }

    private fun poll() {
        while (!stopping.get()) {
            val problem = try {
                pollOnce()
            } catch (e: IOException) {
                e.message ?: e.javaClass.simpleName
            } catch (e: SerializationException) {
                "malformed orders: ${e.message}"
            } catch (e: ExecutionException) {
                "the state thread failed: ${e.cause}"
            } catch (_: InterruptedException) {
                return
            }
            report(problem)
            if (problem != null && !pause()) return
        }
    }

    private fun pause(): Boolean = try {
        Thread.sleep(RETRY_DELAY_MS)
        true
    } catch (_: InterruptedException) {
        false
    }

    private fun pollOnce(): String? {
        val announcement = state.submit<WorkerAnnouncement> { announcement() }.get()
        // The lease starts before the send, so that it never expires later than in the cell.
        val sentAtNs = clock.nanos()
        val path = "/v1/workers/${options.id}/announce"
        val response = entryHosts.post(
            path,
            snakeJson.encodeToString(announcement),
            options.pollMs + POLL_TIMEOUT_MARGIN_MS
        )
        if (response.statusCode() != OK) return "${response.statusCode()} ${response.body()}"
        val orders = snakeJson.decodeFromString<WorkerOrders>(response.body())
        state.submit { execute(orders, sentAtNs, announcement.leaving) }.get()
        return null
    }

    private fun announcement(): WorkerAnnouncement {
        checkTimers()
        return WorkerAnnouncement(
            incarnation,
            options.cpuMillis,
            options.memoryMib,
            options.accelerators,
            options.rack,
            options.failureDomain,
            options.enforcesLeases,
            leaving.get(),
            options.pollMs,
            table.held.map {
                RunningTask(
                    it.taskId,
                    it.token,
                    it.usage.cpuMillis,
                    it.usage.memoryMib,
                    it.usage.accelerators
                )
            },
            table.ended
        )
    }

    private fun execute(orders: WorkerOrders, sentAtNs: Long, announcedLeaving: Boolean) {
        // A lease that expired while this answer was in flight is not renewed for old tasks.
        checkTimers()
        leaseEndsAtNs = sentAtNs + TimeUnit.MILLISECONDS.toNanos(orders.leaseMs)
        table.acknowledge(orders.acknowledged)
        orders.orders.forEach(::execute)
        // The answer to a poll from before leave() does not show that the cell knows of it.
        if (announcedLeaving && table.held.isEmpty() && table.ended.isEmpty()) drained.countDown()
    }

    private fun execute(order: TaskOrder) {
        // Read before the lease check: a pause after the check does not make the start late.
        val nowMs = clock.nowMs()
        val leaseExpired = clock.nanos() >= (leaseEndsAtNs ?: 0)
        when (order.order) {
            "start" -> if (!leaseExpired || !options.enforcesLeases) start(order, nowMs)
            "stop" -> stop(order, nowMs, TaskResult.STOPPED)
            "checkpoint" -> stop(order, nowMs, TaskResult.CHECKPOINTED)
            "throttle" -> table.throttle(order)
            else -> System.err.println("worker ${options.id}: unknown order ${order.order}")
        }
    }

    private fun start(order: TaskOrder, nowMs: Long) {
        if (table.isRunning(order) || table.hasEnded(order)) return
        val older = table.held.firstOrNull { it.taskId == order.taskId }
        if (older != null && older.token < order.token) {
            table.stop(order.copy(token = older.token), nowMs, TaskResult.STOPPED, "newer token")
                ?.let(::writeEnd)
        }
        val task = table.start(order, nowMs)
        if (task == null) {
            write(JournalEvent.REFUSED) {
                it.copy(taskId = order.taskId, token = order.token, result = "old token")
            }
        } else {
            write(JournalEvent.START, nowMs) { it.of(task) }
        }
    }

    private fun stop(order: TaskOrder, nowMs: Long, result: TaskResult) {
        val end = table.stop(order, nowMs, result, order.reason ?: result.name.lowercase())
        if (end != null) {
            writeEnd(end)
        } else if (!table.hasEnded(order)) {
            table.reportNeverStarted(order)
        }
    }

    /**
     * Ends tasks whose run time or lease is over. Both ends have the time at which they were due:
     * the machine enforces a lease even while this process is frozen.
     */
    private fun checkTimers() {
        val nowMs = clock.nowMs()
        val leaseEnd = leaseEndsAtNs
        val expiredForMs =
            leaseEnd?.let { TimeUnit.NANOSECONDS.toMillis(clock.nanos() - it) } ?: -1
        val leaseEndMs = nowMs - expiredForMs
        if (options.enforcesLeases && expiredForMs >= 0) {
            table.endDue(leaseEndMs).forEach(::writeEnd)
            stopTasks(leaseEndMs, "lease ended")
        } else {
            table.endDue(nowMs).forEach(::writeEnd)
        }
    }

    private fun stopTasks(atMs: Long, detail: String) {
        table.stopAll(atMs, detail).forEach(::writeEnd)
    }

    private fun writeEnd(end: TaskEnd) {
        val isStop = end.result == TaskResult.STOPPED || end.result == TaskResult.CHECKPOINTED
        val event = if (isStop) JournalEvent.STOP else JournalEvent.END
        val result = end.detail.ifEmpty { end.result.name.lowercase() }
        write(event, end.atMs) { it.of(end.task).copy(result = result) }
    }

    private fun JournalLine.of(task: HeldTask): JournalLine {
        val inUse: Resources = table.inUse
        return copy(
            taskId = task.taskId,
            token = task.token,
            cpuMillis = task.declared.cpuMillis,
            memoryMib = task.declared.memoryMib,
            accelerators = task.declared.accelerators,
            usedCpuMillis = inUse.cpuMillis,
            usedMemoryMib = inUse.memoryMib,
            usedAccelerators = inUse.accelerators
        )
    }

    private fun write(
        event: JournalEvent,
        atMs: Long = clock.nowMs(),
        fill: (JournalLine) -> JournalLine
    ) {
        journal?.write(fill(JournalLine(atMs, options.id, incarnation, event)))
    }

    private fun report(problem: String?) {
        val isAnnounced = problem == null
        if (isAnnounced != wasAnnounced) {
            val text = if (isAnnounced) "is announced" else "is not announced: $problem"
            System.err.println("worker ${options.id} $text")
        }
        wasAnnounced = isAnnounced
    }
}

private const val TICK_MS = 10L
private const val RETRY_DELAY_MS = 200L
private const val POLL_TIMEOUT_MARGIN_MS = 3_000L
private const val JOIN_TIMEOUT_MS = 1_000L
private const val OK = 200
