package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/** The three policies for jobs. */
@Serializable
enum class JobKind { SERVICE, BATCH, GANG }

/**
 * A job as the caller asked for it.
 *
 * @property perTask resources of each task
 * @property timeLimitMs longest run of one task in milliseconds; null for services
 * @property payload opaque text handed to the worker
 */
@Serializable
data class JobSpec(
    val workId: WorkId,
    val customerId: CustomerId,
    val kind: JobKind,
    val perTask: Resources,
    val taskCount: Int,
    val timeLimitMs: Long? = null,
    val urgency: Urgency = Urgency.NORMAL,
    val payload: String = ""
)

/**
 * A job that has not ended.
 *
 * @property succeededTasks tasks that ended with success
 * @property failedWorkers workers on which a task of the job failed
 */
@Serializable
data class JobWork(
    val spec: JobSpec,
    val contractVersion: Long,
    val acceptedAtMs: Long,
    val succeededTasks: Int = 0,
    val failedWorkers: Set<WorkerId> = emptySet(),
    val cancelRequested: Boolean = false
)

/** The steps of a task's life. */
@Serializable
enum class TaskPhase { WAITING, PLACED, RUNNING, STOPPING, SUCCEEDED }

/** Why a running task is told to stop. */
@Serializable
enum class StopReason { CANCELLED, PREEMPTED, OVERUSE, TIME_LIMIT, GANG_BROKEN, WORKER_DRAIN }

/**
 * Where a task was placed.
 *
 * @property counted what the task counts for on its worker, never below what it declared
 */
@Serializable
data class TaskPlacement(
    val workerId: WorkerId,
    val workerIncarnation: Long,
    val token: FencingToken,
    val counted: Resources,
    val placedAtMs: Long,
    val startedAtMs: Long? = null,
    val stopReason: StopReason? = null
)

/**
 * One task of a job. It holds capacity while [placement] is not null.
 *
 * @property declared resources from the job
 * @property attempts placements so far
 * @property failures ends with failure so far
 * @property preemptions times it was stopped for other work
 * @property notBeforeMs earliest time of the next placement (retry back-off)
 */
@Serializable
data class Task(
    val taskId: TaskId,
    val workId: WorkId,
    val index: Int,
    val declared: Resources,
    val phase: TaskPhase = TaskPhase.WAITING,
    val placement: TaskPlacement? = null,
    val attempts: Int = 0,
    val failures: Int = 0,
    val preemptions: Int = 0,
    val notBeforeMs: Long = 0,
    val waitingSinceMs: Long = 0
)

/** How one run of a task ended, as its worker reported it. */
@Serializable
enum class TaskResult { SUCCEEDED, FAILED, STOPPED, CHECKPOINTED, NEVER_STARTED }
