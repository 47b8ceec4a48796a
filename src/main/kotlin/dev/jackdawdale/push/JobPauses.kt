package dev.jackdawdale.push

/** Pauses of jobs after a worker refused an order. Used on the control thread only. */
internal class JobPauses {
    private val untilMs = HashMap<String, Long>()

    /** Delays further placements of the job until a time. */
    fun pause(jobId: String, untilMs: Long) {
        this.untilMs[jobId] = untilMs
    }

    /** Time for which the job is still paused; 0 or less when it is not. */
    fun leftMs(jobId: String, nowMs: Long): Long = untilMs[jobId]?.let { it - nowMs } ?: 0

    /** Drops the pause of an ended job. */
    fun forget(jobId: String) {
        untilMs.remove(jobId)
    }
}
