package dev.jackdawdale.model

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.serialization.Serializable

/** Whether a worker gets new tasks. */
@Serializable
enum class WorkerPhase { ACTIVE, DRAINING, QUARANTINED, LOST }

/**
 * What a worker announced about itself.
 *
 * @property incarnation rises each time the worker process starts
 * @property enforcesLeases whether the worker stops its tasks by itself when their lease expires
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
 * A worker in the replicated state.
 *
 * @property allocated sum of [TaskPlacement.counted] of its tasks; never more than the capacity
 * @property taskIds tasks with capacity allocated on it
 */
data class Worker(
    val info: WorkerInfo,
    val phase: WorkerPhase = WorkerPhase.ACTIVE,
    val allocated: Resources = Resources(),
    val taskIds: PersistentSet<TaskId> = persistentHashSetOf()
)

/** Capacity that is not allocated to any task. */
val Worker.free: Resources get() = info.capacity - allocated
