package dev.jackdawdale.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable

/** Whether a worker gets new tasks. */
@Serializable
enum class WorkerPhase { ACTIVE, DRAINING, QUARANTINED, LOST }

/**
 * What a worker announced of itself.
 *
 * @property incarnation rises each time the worker process starts
 * @property enforcesLeases the worker stops its tasks by itself when their lease runs out
 */
@Serializable
data class WorkerInfo(
    val workerId: WorkerId,
    val incarnation: Long,
    val capacity: Resources,
    val rack: String,
    val failureDomain: FailureDomain,
    val enforcesLeases: Boolean = true
)

/**
 * A worker as the replicated state knows it.
 *
 * @property allocated sum of what its tasks count for; never more than the capacity
 * @property taskIds tasks that hold capacity on it
 */
data class Worker(
    val info: WorkerInfo,
    val phase: WorkerPhase = WorkerPhase.ACTIVE,
    val allocated: Resources = Resources(),
    val taskIds: PersistentSet<TaskId> = persistentHashSetOf()
)

/** Capacity that no task holds. */
val Worker.free: Resources get() = info.capacity - allocated
