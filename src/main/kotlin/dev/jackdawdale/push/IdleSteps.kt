package dev.jackdawdale.push

import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.placements

/**
 * After this time without a run, a step goes ahead of what others are to get later. Its call for
 * advice takes up to 1.5 s more, and no job may be without a run for 3 s in an idle cell.
 */
private const val GOES_AHEAD_AFTER_MS = 1_000L

/** The same for holds that end by themselves sooner in most cases. */
private const val HOLDS_END_AFTER_MS = 2_000L

/** A step that goes ahead takes at most half of the room that fits it. */
private const val ROOM_FACTOR = 2

/** Whether the step uses what is kept for others that don't start yet. */
internal val ReadyStep.goesAhead: Boolean get() = idleMs >= GOES_AHEAD_AFTER_MS

/**
 * Whether the step no longer waits for a better place, for a gang of its customer below the
 * ceiling, or, beyond its customer's rate, for the steps of others.
 */
internal val ReadyStep.endsHolds: Boolean get() = idleMs >= HOLDS_END_AFTER_MS

/**
 * How long jobs have had no run while under half of their service's processors were in use and
 * there was room for what they lack twice over.
 *
 * Answers holds that outlast their use: room or a part of a ceiling that is kept for a gang whose
 * start is put off again and again, or a place that never becomes free. They share out a full cell;
 * in an idle one they only cost time. Used on the control thread only.
 */
internal class IdleSteps {
    private val jobsSinceMs = HashMap<String, Long>()
    private val servicesSinceMs = HashMap<String, Long>()
    private var usable = emptyMap<String, List<WorkerLink>>()

    /** Records a change of [job], which has steps that wait if [waits]. */
    fun refresh(jobId: String, job: StagedJob?, waits: Boolean, nowMs: Long) {
        if (job != null && waits && job.placements().isEmpty()) {
            jobsSinceMs.putIfAbsent(jobId, nowMs)
        } else {
            jobsSinceMs.remove(jobId)
        }
    }

    /** @param usable workers by service */
    fun beginPass(usable: Map<String, List<WorkerLink>>, nowMs: Long) {
        this.usable = usable
        val idle = usable.filterValues { links ->
            val wholeMillis = links.sumOf { it.worker.cpuMillis }
            2 * links.sumOf { it.free.cpuMillis } > wholeMillis
        }.keys
        servicesSinceMs.keys.retainAll(idle)
        idle.forEach { servicesSinceMs.putIfAbsent(it, nowMs) }
    }

    /** How long the step's job has been idle, in milliseconds; 0 without room twice over. */
    fun idleMs(step: ReadyStep, nowMs: Long): Long {
        val service = step.job.terms.service
        val jobMs = jobsSinceMs[step.id.jobId] ?: return 0
        val serviceMs = servicesSinceMs[service] ?: return 0
        val idleMs = nowMs - maxOf(jobMs, serviceMs)
        val isDecisive = idleMs >= GOES_AHEAD_AFTER_MS
        return if (isDecisive && !fitsTwice(step, usable[service].orEmpty())) 0 else idleMs
    }

    private fun fitsTwice(step: ReadyStep, links: List<WorkerLink>): Boolean {
        val needed = ROOM_FACTOR * step.waiting.size
        return links.map { it.whenEmpty(step).copy(free = it.free) }
            .filter { it.hasLabelFor(step.spec) }
            .sumOf { minOf(it.slots(step.spec), needed) } >= needed
    }
}
