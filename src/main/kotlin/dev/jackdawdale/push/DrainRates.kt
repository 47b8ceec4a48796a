package dev.jackdawdale.push

import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StagedJobSpec
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.reservedPerTask
import kotlin.math.exp

/**
 * What the cell can drain at present.
 *
 * @property hosts entry hosts that make calls for advice, one at a time
 * @property cpuMillis processors that tasks can use at a time, by service
 * @property lateShare share of the drain that new jobs leave for late ones
 */
internal data class Drain(val hosts: Int, val cpuMillis: Map<String, Double>, val lateShare: Double)

/** Host time and processor time that something needs. */
internal data class Demand(val hostMs: Double = 0.0, val cpuMillisMs: Double = 0.0)

internal operator fun Demand.plus(other: Demand) =
    Demand(hostMs + other.hostMs, cpuMillisMs + other.cpuMillisMs)

/**
 * Measures what calls for advice and tasks cost, and how much of the workers can be in use.
 *
 * The measures are costs of units of work, not counts of finished work: a pause of the leader or a
 * quiet time is therefore not taken for a slow cell. Used on the control thread only.
 *
 * @param beganMs when the leader's term began
 */
internal class DrainRates(private val beganMs: Long) {
    private val calls = HashMap<AdviceTerms, CallCosts>()
    private val runTimes = HashMap<String, RunTimes>()
    private val hostCounts = ArrayDeque<Pair<Long, Int>>()
    private val pauses = ArrayDeque<Pair<Long, Long>>()
    private val cpuByService = HashMap<String, Double>()
    private val inUse = HashMap<String, Double>()
    private val arrivedHostMs = DecayingSum(beganMs)
    private val arrivedCpu = HashMap<String, DecayingSum>()
    private var lastPassMs = beganMs
    private var ends = 0

    /** Whether enough was measured in this term for an estimate. */
    fun isKnown(nowMs: Long): Boolean = pausedFrom(beganMs).let {
        nowMs - beganMs - it >= KNOWN_AFTER_MS && ends >= KNOWN_AFTER_ENDS
    }

    /** Records that a pass begins; a long time since the last one was a pause of this leader. */
    fun passed(nowMs: Long) {
        val sinceMs = nowMs - lastPassMs
        if (sinceMs > PAUSE_MS) pauses += nowMs to sinceMs
        if (pauses.size > MAX_PAUSES) pauses.removeFirst()
        lastPassMs = nowMs
    }

    /** Records the hosts that make calls, and the capacity of the registered workers. */
    fun sampled(hosts: Int, workers: Collection<WorkerLink>, waitsForRoom: Boolean, nowMs: Long) {
        hostCounts += nowMs to hosts
        while (hostCounts.first().first < nowMs - HOSTS_KEPT_MS) hostCounts.removeFirst()
        cpuByService.clear()
        for ((service, links) in workers.groupBy { it.worker.service }) {
            val registered = links.filter { !it.worker.draining && !it.leaving }
            val total = registered.sumOf { it.worker.cpuMillis }.toDouble()
            if (total <= 0) continue
            val used = total - registered.sumOf { it.free.cpuMillis }
            val before = inUse[service] ?: 1.0
            val share = if (waitsForRoom) before + IN_USE_GAIN * (used / total - before) else before
            inUse[service] = share.coerceIn(LEAST_IN_USE, 1.0)
            cpuByService[service] = total * inUse.getValue(service)
        }
    }

    /** Records the end of a call for advice, answered or not. */
    fun callEnded(terms: AdviceTerms, sentAtMs: Long, nowMs: Long) {
        val heldMs = (nowMs - sentAtMs - pausedFrom(sentAtMs)).coerceAtLeast(0)
        val cost = calls.getOrPut(terms) { CallCosts() }
        cost.heldMs += gainAfter(cost.calls) * (heldMs - cost.heldMs)
        cost.calls++
    }

    /** Records that all tasks of a step were placed after [callsMade] calls. */
    fun stepPlaced(terms: AdviceTerms, callsMade: Int) {
        val cost = calls.getOrPut(terms) { CallCosts() }
        val counted = callsMade.coerceIn(1, MAX_CALLS_PER_STEP)
        cost.callsPerStep += gainAfter(cost.steps) * (counted - cost.callsPerStep)
        cost.steps++
    }

    /** Records a successful run of a step of [queue]. */
    fun runSucceeded(queue: String, spec: StepSpec, tookMs: Long) {
        ends++
        if (spec.longRunning) return
        val times = runTimes.getOrPut(queue) { RunTimes() }
        val ratio = (tookMs.toDouble() / spec.expectedMs).coerceIn(LEAST_RATIO, GREATEST_RATIO)
        times.ratio += gainAfter(times.runs) * (ratio - times.ratio)
        times.runs++
    }

    /** Records that a job was accepted, which may go before late ones. */
    fun accepted(spec: StagedJobSpec, service: String, terms: AdviceTerms?, nowMs: Long) {
        val demand = spec.steps.filter { !it.longRunning }.fold(Demand()) { sum, step ->
            sum + demandOf(spec.queue, step, step.taskCount, terms, callsMade = 0)
        }
        arrivedHostMs.add(demand.hostMs, nowMs)
        arrivedCpu.getOrPut(service) { DecayingSum(beganMs) }.add(demand.cpuMillisMs, nowMs)
    }

    /** What [tasks] waiting tasks of a step still need, after [callsMade] calls about it. */
    fun demandOf(
        queue: String,
        spec: StepSpec,
        tasks: Int,
        terms: AdviceTerms?,
        callsMade: Int
    ): Demand {
        val hostMs = terms?.let {
            val cost = calls[it]
            val heldMs = if (cost == null || cost.calls < KNOWN_AFTER_CALLS) {
                adviceCallMs(it, WORKERS_PER_ADVICE_CALL)
            } else {
                cost.heldMs
            }
            val left = (cost?.callsPerStep ?: 1.0) - callsMade
            heldMs * left.coerceAtLeast(if (callsMade == 0) 1.0 else LEAST_CALLS_LEFT)
        }
        val ratio = runTimes[queue]?.takeIf { it.runs >= KNOWN_AFTER_ENDS }?.ratio ?: 1.0
        val cpu = spec.reservedPerTask.cpuMillis.toDouble() * spec.expectedMs * ratio * tasks
        return Demand(hostMs ?: 0.0, if (spec.longRunning) 0.0 else cpu)
    }

    /** The drain of the cell for jobs of [service]. */
    fun drain(service: String, nowMs: Long): Drain {
        val hosts = hostCounts.maxOfOrNull { it.second } ?: 0
        val hostLoad = if (hosts > 0) arrivedHostMs.perMs(nowMs) / hosts else 0.0
        val cpuLoad = cpuByService[service]?.let { (arrivedCpu[service]?.perMs(nowMs) ?: 0.0) / it }
        val left = 1 - maxOf(hostLoad, cpuLoad ?: 0.0)
        return Drain(hosts, cpuByService.toMap(), left.coerceIn(LEAST_FOR_LATE, 1.0))
    }

    private fun pausedFrom(fromMs: Long): Long =
        pauses.sumOf { (endMs, forMs) -> (endMs - fromMs).coerceIn(0, forMs) }

    private class CallCosts(
        var heldMs: Double = 0.0,
        var calls: Int = 0,
        var callsPerStep: Double = 1.0,
        var steps: Int = 0
    )

    private class RunTimes(var ratio: Double = 1.0, var runs: Int = 0)

    private companion object {
        /** Several passes and calls for advice; until then all jobs are accepted. */
        const val KNOWN_AFTER_MS = 3_000L
        const val KNOWN_AFTER_ENDS = 20
        const val KNOWN_AFTER_CALLS = 20

        /** Passes follow each other after 15 to 100 ms, also under load. */
        const val PAUSE_MS = 500L
        const val MAX_PAUSES = 20

        /** Sessions of entry hosts are opened anew within this time after a leader change. */
        const val HOSTS_KEPT_MS = 10_000L

        /** Samples are a second apart, bursts last 5 to 7 s. */
        const val IN_USE_GAIN = 0.2

        /** Steps also wait for room when advice, and not capacity, is short. */
        const val LEAST_IN_USE = 0.6

        /** At worst 3.5 calls were measured; more are calls about steps that lack room. */
        const val MAX_CALLS_PER_STEP = 5

        /** Of the waiting steps with an answer, about half need another call. */
        const val LEAST_CALLS_LEFT = 0.5

        /** Declared run times are off by half; others are mistakes of one job. */
        const val LEAST_RATIO = 0.5
        const val GREATEST_RATIO = 2.0

        /**
         * Bursts last 5 to 7 s, and on average a sixth of the cell is left. The estimate uses a
         * quarter, so that it errs towards acceptance.
         */
        const val LEAST_FOR_LATE = 0.25

        /** Measures that an average is taken of; a second has about as many short jobs. */
        const val AVERAGED = 50

        /** Weight of a new measure after [count] others. */
        fun gainAfter(count: Int): Double = 1.0 / minOf(count + 1, AVERAGED)
    }
}

/** A sum in which a value counts less the older it is. */
private class DecayingSum(private val beganMs: Long) {
    private var sum = 0.0
    private var atMs = beganMs

    fun add(value: Double, nowMs: Long) {
        sum = valueAt(nowMs) + value
        atMs = maxOf(atMs, nowMs)
    }

    /** Mean of the values per millisecond. */
    fun perMs(nowMs: Long): Double {
        val known = 1 - exp(-(nowMs - beganMs).toDouble() / DECAY_MS)
        return if (known <= 0) 0.0 else valueAt(nowMs) / DECAY_MS / known
    }

    private fun valueAt(nowMs: Long) = sum * exp(-(nowMs - atMs).coerceAtLeast(0) / DECAY_MS)

    private companion object {
        /** About the length of a burst. */
        const val DECAY_MS = 6_000.0
    }
}
