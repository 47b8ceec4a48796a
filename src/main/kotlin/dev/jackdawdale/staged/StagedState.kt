package dev.jackdawdale.staged

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** Where a staged job stands. */
@Serializable
enum class JobOutcome { COMPLETED, FAILED, CANCELLED }

/** How one run of a task ended. */
@Serializable
enum class RunResult {
    SUCCEEDED,

    /** Through its own fault or the worker's; counts against the attempts. */
    FAILED,

    /** On order, by a lapsed lease, with its gang, or with its worker. */
    INTERRUPTED,

    /** The worker refused the order, or it can no longer take effect. */
    NEVER_RAN
}

/**
 * Where one run of a task was placed.
 *
 * @property workerBoot start of the worker's process; another boot runs nothing of this one
 * @property run number of the run, from 1
 * @property term term of the leader that placed it
 */
@Serializable
data class RunPlacement(
    val workerId: String,
    val workerBoot: Long,
    val run: Int,
    val term: Long,
    val placedAtMs: Long
)

/**
 * One task. It holds room on a worker while [placement] is not null, also after it succeeded.
 *
 * @property lastRun greatest run number given so far
 * @property failedRuns runs that ended with failure
 * @property checkpoint where the next run goes on, or empty
 * @property failedOn workers on which a run failed
 */
@Serializable
data class StageTask(
    val succeeded: Boolean = false,
    val placement: RunPlacement? = null,
    val lastRun: Int = 0,
    val failedRuns: Int = 0,
    val checkpoint: String = "",
    val failedOn: List<String> = emptyList()
)

/**
 * The tasks of one step.
 *
 * @property gangFailures failed runs of the whole gang
 */
@Serializable
data class StageStep(
    val tasks: List<StageTask>,
    val gangFailures: Int = 0,
    val lastFailedRun: Int = 0
)

/** True when every task has succeeded. */
val StageStep.isComplete: Boolean get() = tasks.all { it.succeeded }

/** One occurrence of a job's steps. */
@Serializable
data class Occurrence(val number: Int, val steps: List<StageStep>)

/**
 * A staged job from its acceptance until it is forgotten.
 *
 * @property terms the queue's terms when the job was accepted
 * @property startedAtMs when its first task was placed
 * @property occurrences occurrences that have begun, by number
 */
@Serializable
data class StagedJob(
    val spec: StagedJobSpec,
    val terms: QueueSpec,
    val acceptedAtMs: Long,
    val startedAtMs: Long? = null,
    val outcome: JobOutcome? = null,
    val endedAtMs: Long? = null,
    val occurrences: List<Occurrence> = emptyList()
)

/** A worker that takes orders, as it reported itself. */
@Serializable
data class PushWorker(
    val workerId: String,
    val boot: Long,
    val address: String,
    val service: String,
    val failureDomain: String,
    val cpuMillis: Long,
    val memoryMib: Long,
    val accelerators: Long,
    val labels: List<String>,
    val draining: Boolean = false
)

/** The label that names the worker's rack, or empty. */
val PushWorker.rack: String get() = labels.getOrElse(1) { "" }

/**
 * The replicated part of staged jobs.
 *
 * @property active jobs that have not ended or whose tasks still hold room
 * @property ended jobs that ended, oldest first, until they are forgotten
 * @property refusedIds jobs that were cancelled before they arrived, oldest first
 */
data class StagedState(
    val configuration: QueueConfiguration? = null,
    val active: PersistentMap<String, StagedJob> = persistentHashMapOf(),
    val ended: PersistentMap<String, StagedJob> = persistentMapOf(),
    val refusedIds: PersistentMap<String, Long> = persistentMapOf(),
    val workers: PersistentMap<String, PushWorker> = persistentHashMapOf()
)

/** The job [jobId], running or ended. */
fun StagedState.job(jobId: String): StagedJob? = active[jobId] ?: ended[jobId]

/** The step [id], or null when its job is gone or the occurrence has not begun. */
fun StagedJob.step(id: StepId): StageStep? =
    occurrences.find { it.number == id.occurrence }?.steps?.getOrNull(id.step)

/** The task [id], or null when its job is gone. */
fun StagedState.task(id: StageTaskId): StageTask? =
    job(id.stepId.jobId)?.step(id.stepId)?.tasks?.getOrNull(id.index)

/** All tasks of the job that hold room, with their placement. */
fun StagedJob.held(): List<Pair<StageTaskId, RunPlacement>> = occurrences.flatMap { occurrence ->
    occurrence.steps.flatMapIndexed { number, step ->
        val stepId = StepId(spec.jobId, occurrence.number, number)
        step.tasks.mapIndexedNotNull { index, task ->
            task.placement?.let { StageTaskId(stepId, index) to it }
        }
    }
}

/** Whether the job waits for its first task. */
val StagedJob.isPending: Boolean get() = outcome == null && startedAtMs == null
