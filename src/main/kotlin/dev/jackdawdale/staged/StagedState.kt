package dev.jackdawdale.staged

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.Serializable

/** Final state of a staged job. */
@Serializable
enum class JobOutcome { COMPLETED, FAILED, CANCELLED }

/** How one run of a task ended. */
@Serializable
enum class RunResult {
    SUCCEEDED,

    /** Failed by itself or because of the worker; counts as an attempt. */
    FAILED,

    /** Stopped by order, or ended with its lease, its gang or its worker; counts as no attempt. */
    INTERRUPTED,

    /** Ended with its worker, which had not confirmed its start to the leader; no attempt. */
    UNCONFIRMED,

    /** The worker refused the order, or the order can no longer take effect. */
    NEVER_RAN
}

/**
 * Placement of one run of a task.
 *
 * @property workerBoot identifies the worker's process; another boot has none of its runs
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
 * State of a task. It occupies capacity while [placement] is not null, also after it succeeded.
 *
 * @property lastRun highest run number so far
 * @property failedRuns number of failed runs
 * @property checkpoint where the next run continues, or empty
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
 * State of a step.
 *
 * @property gangFailures number of failed runs of the whole gang
 * @property lastFailedRun last run that is counted in [gangFailures]
 */
@Serializable
data class StageStep(
    val tasks: List<StageTask>,
    val gangFailures: Int = 0,
    val lastFailedRun: Int = 0
)

/** True when every task has succeeded. */
val StageStep.isComplete: Boolean get() = tasks.all { it.succeeded }

@Serializable
data class Occurrence(val number: Int, val steps: List<StageStep>)

/**
 * The customer that submitted a job.
 *
 * @property callId the accepted call; its repetition by the entry host is answered by the job, also
 *   after its key was revoked
 */
@Serializable
data class JobOwner(val customerId: CustomerId, val callId: String)

/**
 * State of a staged job from its acceptance until it is deleted.
 *
 * @property terms the queue's terms when the job was accepted
 * @property startedAtMs when its first task was placed; that order may have been refused
 * @property hasRun whether a run of it is known to have started
 * @property occurrences occurrences that have begun, by number
 * @property owner null when it was submitted without a key to a public queue, or where no customers
 *   are configured
 * @property beyondRate the customer had used up its rate of jobs when it submitted this one
 */
@Serializable
data class StagedJob(
    val spec: StagedJobSpec,
    val terms: QueueSpec,
    val acceptedAtMs: Long,
    val startedAtMs: Long? = null,
    val hasRun: Boolean = false,
    val outcome: JobOutcome? = null,
    val endedAtMs: Long? = null,
    val occurrences: List<Occurrence> = emptyList(),
    val owner: JobOwner? = null,
    val beyondRate: Boolean = false
)

/** A worker that accepts orders, as it registered itself. */
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
 * The replicated state of staged jobs.
 *
 * @property active jobs that have not ended, or whose tasks still occupy capacity
 * @property ended other ended jobs, oldest first, until they are deleted
 * @property refusedIds jobs cancelled before they arrived, with the time, oldest first
 * @property contracts the customers' contracts; that of a customer which is no longer configured
 *   stays until its last active job has ended
 */
data class StagedState(
    val configuration: QueueConfiguration? = null,
    val active: PersistentMap<String, StagedJob> = persistentHashMapOf(),
    val ended: PersistentMap<String, StagedJob> = persistentMapOf(),
    val refusedIds: PersistentMap<String, Long> = persistentMapOf(),
    val workers: PersistentMap<String, PushWorker> = persistentHashMapOf(),
    val contracts: PersistentMap<CustomerId, Contract> = persistentHashMapOf()
)

/** The job [jobId], active or ended. */
fun StagedState.job(jobId: String): StagedJob? = active[jobId] ?: ended[jobId]

/**
 * The job that callers address as [path] on [host], by the queue that accepted it. The queue may
 * have been changed or dropped since.
 */
fun StagedState.jobAt(host: String, path: String): StagedJob? =
    idsIn(path).mapNotNull(::job).firstOrNull {
        it.terms.host == host && it.terms.pathPrefix + it.spec.jobId == path
    }

/** Whether the job at [path] was cancelled before it arrived, so that it never runs. */
fun StagedState.isRefusedAt(path: String): Boolean = idsIn(path).any { it in refusedIds }

/** The ids that [path] may end with, longest first: where its prefix ends, only a queue tells. */
private fun idsIn(path: String): Sequence<String> {
    val from = maxOf(path.lastIndexOf('/') + 1, path.length - MAX_JOB_ID_CHARS)
    return (from until path.length).asSequence().map(path::substring)
}

/** Whether [service] is configured, or unfinished jobs need it. */
fun StagedState.isInUse(service: String): Boolean = configuration == null ||
    service in configuration.services ||
    configuration.queues.any { it.service == service } ||
    active.values.any { it.terms.service == service }

/** The step [id], or null when the occurrence has not begun or there is no such step. */
fun StagedJob.step(id: StepId): StageStep? =
    occurrences.find { it.number == id.occurrence }?.steps?.getOrNull(id.step)

/** The task [id], or null when there is none. */
fun StagedState.task(id: StageTaskId): StageTask? =
    job(id.stepId.jobId)?.step(id.stepId)?.tasks?.getOrNull(id.index)

/** The placements of all tasks of the job that occupy capacity. */
fun StagedJob.placements(): List<Pair<StageTaskId, RunPlacement>> =
    occurrences.flatMap { occurrence ->
        occurrence.steps.flatMapIndexed { number, step ->
            val stepId = StepId(spec.jobId, occurrence.number, number)
            step.tasks.mapIndexedNotNull { index, task ->
                task.placement?.let { StageTaskId(stepId, index) to it }
            }
        }
    }
