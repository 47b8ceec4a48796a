package dev.jackdawdale.placement

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import kotlin.math.ln
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus

internal data class QueueKey(val customerId: CustomerId, val urgency: Urgency)

/**
 * Groups jobs of similar task size, so that after one failed search a pass skips the whole group.
 * Each step is a quarter octave; with exact sizes the cost of a pass would grow with waiting work.
 */
internal data class SizeClass(
    val gangStep: Int,
    val cpuStep: Int,
    val memoryStep: Int,
    val accelerators: Long
)

/** Tasks of one job that can be placed now, in the order in which they were queued. */
internal data class WaitingJob(
    val spec: JobSpec,
    val sinceMs: Long,
    val tasks: PersistentSet<TaskId> = persistentSetOf()
)

/**
 * Tasks that wait for a worker.
 *
 * @property queues jobs by customer, urgency and size class; each class is FIFO
 * @property delayed tasks in retry back-off, by the second from which they may be placed
 * @property releasedSec last second whose delayed tasks were moved to [queues]
 */
internal data class WaitingWork(
    val jobs: PersistentMap<WorkId, WaitingJob> = persistentHashMapOf(),
    val queues: PersistentMap<QueueKey, PersistentMap<SizeClass, PersistentSet<WorkId>>> =
        persistentHashMapOf(),
    val delayed: PersistentMap<Long, PersistentSet<TaskId>> = persistentHashMapOf(),
    val releasedSec: Long = 0
)

internal fun JobSpec.queueKey() = QueueKey(customerId, urgency)

internal fun JobSpec.sizeClass() = SizeClass(
    gangStep = if (kind == JobKind.GANG) quarterOctave(taskCount.toLong()) else -1,
    cpuStep = quarterOctave(perTask.cpuMillis),
    memoryStep = quarterOctave(perTask.memoryMib),
    accelerators = perTask.accelerators
)

private fun quarterOctave(value: Long): Int =
    if (value <= 0) 0 else (4 * ln(value.toDouble()) / ln(2.0)).toInt() + 1

private const val MS_PER_SEC = 1_000L

private fun dueSec(notBeforeMs: Long) = (notBeforeMs + MS_PER_SEC - 1) / MS_PER_SEC

/** Adds the waiting [task] to its job in the queues, or to the delayed tasks. */
internal fun WaitingWork.add(spec: JobSpec, task: Task): WaitingWork {
    val sec = dueSec(task.notBeforeMs)
    if (sec > releasedSec) {
        val due = delayed[sec] ?: persistentSetOf()
        return copy(delayed = delayed.put(sec, due + task.taskId))
    }
    val job = jobs[spec.workId] ?: WaitingJob(spec, task.waitingSinceMs)
    val withTask = job.copy(tasks = job.tasks + task.taskId)
    val queued = if (job.tasks.isEmpty()) enqueue(spec) else this
    return queued.copy(jobs = jobs.put(spec.workId, withTask))
}

internal fun WaitingWork.remove(spec: JobSpec, task: Task): WaitingWork {
    val sec = dueSec(task.notBeforeMs)
    val job = jobs[spec.workId]
    if (job == null || task.taskId !in job.tasks) {
        val due = (delayed[sec] ?: return this) - task.taskId
        val rest = if (due.isEmpty()) delayed - sec else delayed.put(sec, due)
        return copy(delayed = rest)
    }
    val withoutTask = job.copy(tasks = job.tasks - task.taskId)
    if (withoutTask.tasks.isNotEmpty()) return copy(jobs = jobs.put(spec.workId, withoutTask))
    return dequeue(spec).copy(jobs = jobs - spec.workId)
}

/** Removes all queued tasks of a job; its delayed tasks are dropped when they become due. */
internal fun WaitingWork.removeJob(spec: JobSpec): WaitingWork {
    if (spec.workId !in jobs) return this
    return dequeue(spec).copy(jobs = jobs - spec.workId)
}

private fun WaitingWork.enqueue(spec: JobSpec): WaitingWork {
    val key = spec.queueKey()
    val classes = queues[key] ?: persistentMapOf()
    val sizeClass = spec.sizeClass()
    val members = (classes[sizeClass] ?: persistentSetOf()) + spec.workId
    return copy(queues = queues.put(key, classes.put(sizeClass, members)))
}

private fun WaitingWork.dequeue(spec: JobSpec): WaitingWork {
    val key = spec.queueKey()
    val classes = queues[key] ?: return this
    val sizeClass = spec.sizeClass()
    val members = (classes[sizeClass] ?: return this) - spec.workId
    val rest = if (members.isEmpty()) classes - sizeClass else classes.put(sizeClass, members)
    return copy(queues = if (rest.isEmpty()) queues - key else queues.put(key, rest))
}

/** Removes the delayed tasks whose back-off has ended and returns their ids. */
internal fun WaitingWork.takeDue(nowMs: Long): Pair<WaitingWork, List<TaskId>> {
    val nowSec = nowMs / MS_PER_SEC
    if (nowSec <= releasedSec) return this to emptyList()
    if (delayed.isEmpty()) return copy(releasedSec = nowSec) to emptyList()
    val dueSecs = delayed.keys.filter { it <= nowSec }
    val ids = dueSecs.flatMap { delayed.getValue(it) }
    return copy(delayed = delayed - dueSecs, releasedSec = nowSec) to ids
}
