package dev.jackdawdale.push

import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.placements

/**
 * After this time without a run, a step goes ahead of what others are to get later. Its call for
 * advice takes up to 1.4 s more, and no job may be without a run for 3 s in an idle cell.
 */
private const val GOES_AHEAD_AFTER_MS = 1_000L

/** The same for holds that end by themselves sooner in most cases. */
private const val HOLDS_END_AFTER_MS = 2_000L

/** Whether the step uses what is kept for others that don't start yet. */
internal val ReadyStep.goesAhead: Boolean get() = idleMs >= GOES_AHEAD_AFTER_MS

/**
 * Whether the step no longer waits for a better place, for a gang of its customer below the
 * ceiling, or, beyond its customer's rate, for the steps of others.
 */
internal val ReadyStep.endsHolds: Boolean get() = idleMs >= HOLDS_END_AFTER_MS

/**
 * How long jobs have had no run while under half of their service's processors were in use.
 *
 * Answers holds that outlast their use: room or a part of a ceiling that is kept for a gang whose
 * start is put off again and again, or a place that never becomes free. They share out a full cell;
 * in an idle one they only cost time. Used on the control thread only.
 */
internal class IdleSteps {
    private val jobsSinceMs = HashMap<String, Long>()
    private val servicesSinceMs = HashMap<String, Long>()

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
        val idle = usable.filterValues { links ->
            val wholeMillis = links.sumOf { it.worker.cpuMillis }
            2 * links.sumOf { it.free.cpuMillis } > wholeMillis
        }.keys
        servicesSinceMs.keys.retainAll(idle)
        idle.forEach { servicesSinceMs.putIfAbsent(it, nowMs) }
    }

    /** How long a job of the service has been idle, in milliseconds. */
    fun idleMs(jobId: String, service: String, nowMs: Long): Long {
        val jobMs = jobsSinceMs[jobId] ?: return 0
        val serviceMs = servicesSinceMs[service] ?: return 0
        return nowMs - maxOf(jobMs, serviceMs)
    }
}
