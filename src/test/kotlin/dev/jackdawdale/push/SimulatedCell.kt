package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.placements
import dev.jackdawdale.staged.rack
import dev.jackdawdale.staged.reservedPerTask
import java.util.PriorityQueue
import kotlin.math.abs

private const val PASS_MS = 15L
private const val COMMIT_MS = 12L
private const val NETWORK_MS = 2L
private const val PERCENT = 100

/** Calls for advice about the steps of a queue; they kept hosts busy for [hostMs]. */
internal class CallTotals {
    val steps = HashSet<StepId>()
    var calls = 0
    var workers = 0
    var hostMs = 0L
}

/** The contents of a simulated ticket. */
private data class TicketText(val stepId: String, val validUntilMs: Long) {
    val text get() = "$stepId@$validUntilMs"
}

/**
 * A leader with simulated workers and a simulated adviser, in simulated time.
 *
 * The adviser handles one call at a time per calling host and gives tickets that expire. A worker
 * starts every run that has a valid ticket, even beyond its capacity, and lists its ends.
 *
 * @param allowedPercent share of the workers that the policy of a queue allows, by its name
 * @param adviserDelayMs time from the leader through a calling host to the adviser, and back
 * @param hostAddsMs time that a host, by number, adds to the adviser's own for a call that begins
 *   at the given time
 * @param runMs run time of a task
 * @param configuration configuration at the start, if any
 * @param speedOf speed of a worker: its runs take the run time divided by it, and all members of a
 *   gang that of its slowest member
 * @param endOf how a run ends that is not stopped
 * @param answersCall whether the adviser answers a call that begins at the given time
 */
internal class SimulatedCell(
    workers: List<PushWorker>,
    adviceHosts: Int,
    private val allowedPercent: Map<String, Int>,
    private val adviserDelayMs: Long = 100,
    private val hostAddsMs: (host: Int, nowMs: Long) -> Long = { _, _ -> 0 },
    order: StepOrder = ::valueOrder,
    configuration: StagedEvent.Configured? = null,
    private val settings: PushSettings = PushSettings(),
    private val speedOf: (workerId: String) -> Double = { 1.0 },
    private val endOf: (StageTaskId, run: Int) -> ListedEnd = { _, _ -> ListedEnd.DONE },
    private val answersCall: (AdviceCall, nowMs: Long) -> Boolean = { _, _ -> true },
    private val runMs: (StageTaskId) -> Long
) {
    private val timers = PriorityQueue<Timer>(compareBy({ it.atMs }, { it.number }))
    private var lastNumber = 0L
    private val hosts = List(adviceHosts) { HostId("h$it") }
    private val busyUntilMs = HashMap<HostId, Long>()
    private val simulated = workers.associate { it.workerId to SimulatedWorker(it) }
    private val queueOf = HashMap<String, String>()
    private val leader = LeaderFixture(
        term = 1,
        workers.map { StagedEvent.WorkerRegistered(it) } + listOfNotNull(configuration),
        WorkerClient(::start, ::stop, ::report),
        PASS_MS,
        COMMIT_MS,
        hosts.toSet(),
        ::askAdvice,
        order = order,
        settings = settings
    )

    /** Number of starts that exceeded the capacity of a worker. */
    var overfilled = 0
        private set
    var refusedTickets = 0
        private set
    var adviceCalls = 0
        private set

    /** Calls to the adviser by queue. */
    val callsOf = HashMap<String, CallTotals>()
    val nowMs: Long get() = leader.nowMs
    val staged: StagedState get() = leader.staged

    fun job(jobId: String): StagedJob? = staged.job(jobId)

    fun submit(job: StagedEvent.JobAccepted) {
        queueOf[job.spec.jobId] = job.spec.queue
        leader.accept(job)
    }

    fun configure(configuration: StagedEvent.Configured) = leader.emit(configuration)

    /** Advances the simulated time. */
    fun advance(forMs: Long) {
        val untilMs = nowMs + forMs
        while (nowMs < untilMs) {
            while (timers.isNotEmpty() && timers.peek().atMs <= nowMs) timers.poll().action()
            leader.runPasses(1)
        }
    }

    /** Whether the policy of the job's queue allows the step on the worker. */
    fun allows(stepId: StepId, workerId: String): Boolean {
        val percent = allowedPercent.getValue(queueOf.getValue(stepId.jobId))
        return abs((stepId to workerId).hashCode() % PERCENT) < percent
    }

    private fun after(delayMs: Long, action: () -> Unit) {
        timers += Timer(nowMs + delayMs, lastNumber++, action)
    }

    private fun askAdvice(call: AdviceCall): Boolean {
        adviceCalls++
        val beginMs = maxOf(nowMs + adviserDelayMs, busyUntilMs[call.hostId] ?: 0)
        val queue = queueOf.getValue(call.stepId.jobId)
        val costMs = adviceCallMs(call.terms, call.asked.size).toLong()
        val endMs = beginMs + costMs + hostAddsMs(hosts.indexOf(call.hostId), beginMs)
        busyUntilMs[call.hostId] = endMs
        callsOf.getOrPut(queue) { CallTotals() }.run {
            steps += call.stepId
            calls++
            workers += call.asked.size
            hostMs += endMs + adviserDelayMs - nowMs
        }
        val ticket = TicketText(call.stepId.toString(), endMs + call.terms.validMs)
        val given = call.asked.filter { allows(call.stepId, it.workerId) }
        if (!answersCall(call, beginMs)) return true
        after(endMs + adviserDelayMs - nowMs) {
            val tickets = given.associate { it.workerId to ticket.text }
            leader.adviceAnswered(call, AdviceResult.Given(tickets))
        }
        return true
    }

    private fun start(worker: PushWorker, order: StartOrder, onResult: (StartResult) -> Unit) =
        after(NETWORK_MS) {
            val result = simulated.getValue(worker.workerId).start(order)
            after(NETWORK_MS) { onResult(result) }
        }

    private fun stop(
        worker: PushWorker,
        taskId: StageTaskId,
        run: Int,
        @Suppress("UNUSED_PARAMETER") term: Long,
        onResult: (StopResult) -> Unit
    ) = after(NETWORK_MS) {
        simulated.getValue(worker.workerId).end(taskId, run, ListedEnd.STOPPED)
        after(NETWORK_MS) { onResult(StopResult.ACCEPTED) }
    }

    private fun report(
        worker: PushWorker,
        request: ReportRequest,
        onResult: (ReportResult) -> Unit
    ) = after(NETWORK_MS) {
        simulated.getValue(worker.workerId).report(request) { report ->
            after(NETWORK_MS) { onResult(ReportResult.Reported(report)) }
        }
    }

    private class Timer(val atMs: Long, val number: Long, val action: () -> Unit)

    private inner class SimulatedWorker(private val worker: PushWorker) {
        private val capacity = Resources(worker.cpuMillis, worker.memoryMib)
        private val boot = worker.boot
        private var used = Resources()
        private val running = LinkedHashMap<StageTaskId, Running>()
        private val ended = ArrayList<EndedRun>()
        private var lastEnd = 0L
        private var waiting: ((RunReport) -> Unit)? = null

        fun start(order: StartOrder): StartResult {
            if (nowMs > order.ticket.substringAfterLast('@').toLong()) {
                refusedTickets++
                return StartResult.Refused(StartRefusal.NO_TICKET)
            }
            val spec = checkNotNull(job(order.taskId.stepId.jobId))
                .spec.steps[order.taskId.stepId.step]
            val tookMs = (runMs(order.taskId) / speed(spec, order.taskId.stepId)).toLong()
            val run = Running(order.run, nowMs, tookMs, spec.reservedPerTask)
            running[order.taskId] = run
            used += run.reserved
            if (used.cpuMillis > capacity.cpuMillis || used.memoryMib > capacity.memoryMib) {
                overfilled++
            }
            after(run.runMs) { end(order.taskId, order.run, endOf(order.taskId, order.run)) }
            return StartResult.Started()
        }

        /** Speed at which a task runs here. */
        private fun speed(spec: StepSpec, stepId: StepId): Double {
            val isRemote = spec.dataRack.isNotEmpty() && spec.dataRack !in worker.labels
            val placeFactor = if (isRemote) settings.remoteFactor else 1.0
            if (!spec.gang) return speedOf(worker.workerId) / placeFactor
            val members = checkNotNull(job(stepId.jobId)).placements()
                .filter { it.first.stepId == stepId }
                .map { simulated.getValue(it.second.workerId).worker }
            val isSpread = spec.oneRack && members.distinctBy { it.rack }.size > 1
            val spreadFactor = if (isSpread) settings.remoteFactor else 1.0
            return members.minOf { speedOf(it.workerId) } / maxOf(placeFactor, spreadFactor)
        }

        fun end(taskId: StageTaskId, number: Int, how: ListedEnd) {
            val run = running[taskId]?.takeIf { it.number == number } ?: return
            running.remove(taskId)
            used -= run.reserved
            ended += EndedRun(++lastEnd, taskId, number, how, "")
            waiting?.invoke(currentReport())
            waiting = null
        }

        fun report(request: ReportRequest, answer: (RunReport) -> Unit) {
            ended.removeIf { it.number <= request.acknowledgedEnd }
            if (ended.isNotEmpty() || request.waitMs == 0L) return answer(currentReport())
            waiting = answer
            after(request.waitMs) {
                if (waiting === answer) {
                    waiting = null
                    answer(currentReport())
                }
            }
        }

        private fun currentReport(): RunReport {
            val listed = running.map { (taskId, run) ->
                val percent = (nowMs - run.startedMs) * PERCENT / run.runMs.coerceAtLeast(1)
                ListedRun(taskId, run.number, "", percent.toInt().coerceAtMost(PERCENT))
            }
            return RunReport(boot, nowMs, listed, ended.toList())
        }
    }

    private class Running(
        val number: Int,
        val startedMs: Long,
        val runMs: Long,
        val reserved: Resources
    )
}
