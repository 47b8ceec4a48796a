package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.placements

/**
 * Records which jobs have begun, so that later leaders, processes and the loss of a worker don't
 * change it. A placement doesn't begin a job, as its order may be refused or lost; a run does.
 */
internal class JobStarts(private val context: LeaderContext) {
    /** Jobs with placements that are not recorded as begun. */
    private val unrecorded = LinkedHashSet<String>()

    /** Handles the placement of a task of the job. */
    fun placed(jobId: String) {
        unrecorded += jobId
    }

    /** Records the jobs of which a run has started since the last pass. */
    fun record(pass: Pass) {
        for (jobId in unrecorded.toList()) {
            val job = pass.state.staged.active[jobId]
            when {
                job == null || job.hasRun || job.placements().isEmpty() -> unrecorded -= jobId
                isAtWork(job) -> {
                    unrecorded -= jobId
                    context.emit(pass, StagedEvent.JobBegun(jobId))
                }
            }
        }
    }

    /** Whether a run of the job, which may not be recorded yet, has started. */
    fun hasBegun(job: StagedJob): Boolean = job.hasRun || isAtWork(job)

    private fun isAtWork(job: StagedJob): Boolean = job.placements().any { (taskId, placement) ->
        context.links[placement.workerId]?.runOf(taskId, placement.run)?.hasStarted ?: false
    }
}
