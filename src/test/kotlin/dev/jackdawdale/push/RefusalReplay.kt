package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.Occurrence
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.StageStep
import dev.jackdawdale.staged.StageTask
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StepSpec
import kotlin.random.Random

private const val TICK_MS = 20L
private const val CALL_TRANSIT_MS = 100L
private const val SAMPLE_EVERY_MS = 1_000L
private const val BEYOND_RANK = 1e10
private const val LATE_VALUE = 0.2
private const val NEVER_SUCCEEDS_ATTEMPTS = 3

/** A class of jobs of one step. */
internal class ReplayClass(
    val name: String,
    val jobsPerS: Double,
    val tasks: Int,
    val cpuMillis: Long,
    val runMs: Long,
    val stretch: Double,
    val targetMs: Long,
    val terms: AdviceTerms,
    val calls: Double,
    val valueFactor: Double = 1.0
) {
    val queue = queue(name, stretch, targetMs, terms)
}

/** The classes of the cell with customers, with the rates of steps; see docs/design/contention.md. */
internal val replayClasses = listOf(
    ReplayClass("wide", 3.0, 20, 18_000, 5_000, 2.2, 1_000, AdviceTerms(559.0, 8.06, 1_500), 3.5),
    ReplayClass("middle", 13.4, 25, 6_900, 2_700, 4.0, 3_000, AdviceTerms(130.0, 1.82, 1_500), 1.5),
    ReplayClass("short", 57.8, 3, 9_900, 800, 1.5, 250, AdviceTerms(11.7, 0.169, 1_500), 1.1, 3.0)
)

/** A job of a replay; [endedMs] is null while it has not succeeded. */
internal class ReplayJob(
    val id: String,
    val kind: ReplayClass,
    val submittedMs: Long,
    val spec: StepSpec,
    val runMs: Long,
    val neverSucceeds: Boolean,
    val beyondRate: Boolean
) {
    var arrivedMs = submittedMs
    var refusedAtMs: Long? = null
    var endedMs: Long? = null
    var failures = 0
    val work = spec.perTask.cpuMillis.toDouble() * spec.taskCount * runMs * kind.valueFactor

    fun step(): ReadyStep {
        val steps = listOf(StageStep(List(spec.taskCount) { StageTask() }))
        val jobSpec = StagedJobSpec(id, kind.name, "", listOf(spec))
        val occurrences = listOf(Occurrence(0, steps))
        val job = StagedJob(
            jobSpec,
            kind.queue,
            arrivedMs,
            occurrences = occurrences,
            beyondRate = beyondRate
        )
        return readySteps(job).single()
    }

    /** Share of its value that the caller gets. */
    val value: Double
        get() {
            val objectiveMs = StagedJob(StagedJobSpec(id, "", "", listOf(spec)), kind.queue, 0)
                .objectiveMs()
            val tookMs = (endedMs ?: return 0.0) - submittedMs
            return when {
                tookMs <= objectiveMs -> 1.0
                tookMs <= 3 * objectiveMs -> LATE_VALUE
                else -> 0.0
            }
        }
}

/**
 * A load to replay.
 *
 * @property burst factor on the rate of a class at a time
 * @property isBeyondRate whether the jobs of a burst beyond the usual rate are marked
 * @property outage times between which there is no leader; then one without measures follows
 * @property pause times between which the leader is stopped, and goes on with its measures
 * @property newLeaderMs when another leader without measures takes over
 * @property cancelMs when the callers cancel nearly all waiting jobs
 * @property neverSucceeds share of the jobs whose runs all fail
 */
internal class ReplayLoad(
    val forMs: Long = 30_000,
    val hosts: Int = 30,
    val cores: Long = 15_680,
    val burst: (kind: String, nowMs: Long) -> Double = { _, _ -> 1.0 },
    val isBeyondRate: Boolean = false,
    val outage: LongRange = LongRange.EMPTY,
    val pause: LongRange = LongRange.EMPTY,
    val newLeaderMs: Long = -1,
    val cancelMs: Long = -1,
    val neverSucceeds: Double = 0.0
)

/** How waiting steps are served, and whether jobs are refused. */
internal enum class ReplayPolicy { FIRST_COME, RANK, RANK_AND_REFUSAL }

/**
 * Replays a load on a cell of hosts that make calls and cores that run tasks. The same load arrives
 * under each policy.
 */
internal class RefusalReplay(private val load: ReplayLoad, private val policy: ReplayPolicy) {
    val jobs = ArrayList<ReplayJob>()
    private val random = Random(11)
    private var nowMs = 100_000L
    private val beganMs = nowMs
    private var rates = DrainRates(nowMs)
    private val waiting = LinkedHashMap<ReplayJob, ReadyStep>()
    private val callUntil = HashMap<ReplayJob, Pair<Long, Long>>()
    private val advised = HashSet<ReplayJob>()
    private val running = HashMap<ReplayJob, Long>()
    private val unanswered = ArrayList<ReplayJob>()
    private val cell = WorkerLink(
        testWorker.copy(cpuMillis = load.cores * 1_000, service = testQueue.service),
        fencingToken = 1,
        inheritedUntilMs = 0,
        nowMs
    )
    private var waitsForRoom = false

    val refused get() = jobs.filter { it.refusedAtMs != null }
    val value get() = jobs.sumOf { it.value * it.work } / jobs.sumOf { it.work }
    fun sinceMs(job: ReplayJob) = job.submittedMs - beganMs

    fun run(): RefusalReplay {
        while (nowMs < beganMs + load.forMs) tick(submits = true)
        while (waiting.isNotEmpty() || running.isNotEmpty()) {
            tick(submits = false)
            if (nowMs > beganMs + load.forMs + 120_000) break
        }
        return this
    }

    private fun tick(submits: Boolean) {
        nowMs += TICK_MS
        val sinceMs = nowMs - beganMs
        val isOut = sinceMs in load.outage
        endRuns()
        if (submits) submit(sinceMs)
        if (isOut || sinceMs in load.pause) return
        if (sinceMs == load.newLeaderMs || sinceMs - TICK_MS in load.outage) {
            rates = DrainRates(nowMs)
        }
        if (sinceMs == load.cancelMs) cancelMost()
        unanswered.forEach(::decide)
        unanswered.clear()
        rates.passed(nowMs)
        endCalls()
        val order = waiting.entries.sortedBy { (job, step) ->
            when {
                policy == ReplayPolicy.FIRST_COME -> job.arrivedMs.toDouble()
                job.beyondRate -> BEYOND_RANK + valueOrder(step, OrderInputs(nowMs))
                else -> valueOrder(step, OrderInputs(nowMs))
            }
        }.map { it.key }
        startRuns(order)
        startCalls(order)
        if (sinceMs % SAMPLE_EVERY_MS == 0L) {
            rates.sampled(load.hosts, listOf(cell), waitsForRoom, nowMs)
        }
    }

    private fun submit(sinceMs: Long) {
        for (kind in replayClasses) {
            val factor = load.burst(kind.name, sinceMs)
            var expected = kind.jobsPerS * factor * TICK_MS / 1_000
            while (random.nextDouble() < expected) {
                expected -= 1
                val runMs = (kind.runMs * (0.5 + random.nextDouble())).toLong()
                val estimateMs = (runMs * (0.6 + 0.8 * random.nextDouble())).toLong()
                val spec = StepSpec(kind.tasks, Resources(kind.cpuMillis), estimateMs)
                val never = random.nextDouble() < load.neverSucceeds
                val isExtra = random.nextDouble() > 1 / factor
                val beyond = load.isBeyondRate && isExtra
                val id = "${kind.name}${jobs.size}"
                val job = ReplayJob(id, kind, nowMs, spec, runMs, never, beyond)
                jobs += job
                unanswered += job
            }
        }
    }

    private fun decide(job: ReplayJob) {
        job.arrivedMs = nowMs
        val step = job.step()
        if (policy == ReplayPolicy.RANK_AND_REFUSAL && rates.isKnown(nowMs)) {
            val queued = waiting.map { queued(it.key, it.value) }.sortedBy { it.rank }
            val drain = rates.drain(testQueue.service, nowMs)
            val expected = expectedStart(queued(job, step), queued, drain, nowMs)
            if (expected.reason != null) {
                job.refusedAtMs = nowMs
                return
            }
        }
        waiting[job] = step
        val jobSpec = StagedJobSpec(job.id, job.kind.name, "", listOf(job.spec))
        rates.accepted(jobSpec, testQueue.service, job.kind.terms, nowMs)
    }

    private fun queued(job: ReplayJob, step: ReadyStep): QueuedStep {
        val calls = if (job in advised || job in callUntil) 1 else 0
        return QueuedStep(
            valueOrder(step, OrderInputs(nowMs)),
            step.latestStartMs,
            step.worthlessAfterMs,
            job.kind.name,
            testQueue.service,
            rates.demandOf(job.kind.name, job.spec, job.spec.taskCount, job.kind.terms, calls),
            callLength(job.kind.terms),
            job.beyondRate
        )
    }

    /** Callers also cancel jobs whose calls are in flight. */
    private fun cancelMost() {
        waiting.keys.toList().filter { random.nextInt(10) > 0 }.forEach {
            waiting.remove(it)
            callUntil.remove(it)
        }
    }

    private fun startCalls(order: List<ReplayJob>) {
        val budget = CallBudget(
            load.hosts,
            callUntil.keys.map { callLength(it.kind.terms) },
            CallLength.SHORT
        )
        for (job in order) {
            if (callUntil.size >= load.hosts) return
            if (job in advised || job in callUntil) continue
            val length = callLength(job.kind.terms)
            if (!budget.allows(length)) continue
            budget.take(length)
            val callMs = adviceCallMs(job.kind.terms, WORKERS_PER_ADVICE_CALL) + CALL_TRANSIT_MS
            callUntil[job] = nowMs to nowMs + (job.kind.calls * callMs).toLong()
        }
    }

    private fun endCalls() {
        callUntil.filterValues { it.second <= nowMs }.forEach { (job, call) ->
            callUntil.remove(job)
            advised += job
            rates.callEnded(job.kind.terms, call.first, nowMs)
        }
    }

    private fun startRuns(order: List<ReplayJob>) {
        waitsForRoom = false
        for (job in order) {
            if (job !in advised) continue
            val needed = job.spec.perTask.cpuMillis * job.spec.taskCount
            if (needed > cell.free.cpuMillis) {
                waitsForRoom = true
                continue
            }
            val taskId = StageTaskId(waiting.getValue(job).id, 0)
            val placement = RunPlacement("w1", 1, job.failures + 1, 1, nowMs)
            cell.hold(HeldRun(taskId, placement, Resources(needed), StartState.Confirmed(nowMs)))
            rates.stepPlaced(job.kind.terms, 1)
            waiting.remove(job)
            running[job] = nowMs + job.runMs
        }
    }

    private fun endRuns() {
        running.filterValues { it <= nowMs }.keys.toList().forEach { job ->
            running.remove(job)
            cell.release(StageTaskId(job.step().id, 0))
            if (!job.neverSucceeds) {
                job.endedMs = nowMs
                repeat(job.spec.taskCount) {
                    rates.runSucceeded(job.kind.name, job.spec, job.runMs)
                }
            } else if (++job.failures < NEVER_SUCCEEDS_ATTEMPTS) {
                waiting[job] = job.step()
            }
        }
    }
}
