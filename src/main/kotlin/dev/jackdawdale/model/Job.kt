package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/** The kind of a job, which decides how it is scheduled. */
@Serializable
enum class JobKind { SERVICE, BATCH, GANG }

/**
 * A job as the caller submitted it.
 *
 * @property perTask resources of each task
 * @property timeLimitMs longest run of one task in milliseconds; null for services
 * @property payload opaque text passed to the worker
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
 * @property succeededTasks number of tasks that succeeded
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

/** The life cycle of a task. */
@Serializable
enum class TaskPhase { WAITING, PLACED, RUNNING, STOPPING, SUCCEEDED }

/** Why a running task is asked to stop. */
@Serializable
enum class StopReason { CANCELLED, PREEMPTED, OVERUSE, TIME_LIMIT, GANG_BROKEN, WORKER_DRAIN }

/**
 * Where a task was placed.
 *
 * @property counted resources allocated to the task on its worker; at least [Task.declared]
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
 * One task of a job. Capacity is allocated to it while [placement] is not null.
 *
 * @property declared resources that the job specifies for each task
 * @property attempts number of placements so far
 * @property failures number of failed runs so far
 * @property preemptions number of times it was stopped to make room for other work
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

/** How one run of a task ended, as reported by its worker. */
@Serializable
enum class TaskResult { SUCCEEDED, FAILED, STOPPED, CHECKPOINTED, NEVER_STARTED }
