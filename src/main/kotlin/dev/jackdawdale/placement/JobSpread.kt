package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentHashMapOf

/** Number of tasks of one service job in each failure domain and rack and on each worker. */
internal data class JobSpread(
    val domains: PersistentMap<FailureDomain, Int> = persistentHashMapOf(),
    val racks: PersistentMap<String, Int> = persistentHashMapOf(),
    val workers: PersistentMap<WorkerId, Int> = persistentHashMapOf()
)

private fun <K> PersistentMap<K, Int>.withCount(key: K, change: Int): PersistentMap<K, Int> {
    val count = (this[key] ?: 0) + change
    return if (count <= 0) this - key else put(key, count)
}

private fun JobSpread.withCount(info: WorkerInfo, change: Int) = JobSpread(
    domains = domains.withCount(info.failureDomain, change),
    racks = racks.withCount(rackKey(info), change),
    workers = workers.withCount(info.workerId, change)
)

/** Rack names are unique only within a failure domain. */
internal fun rackKey(info: WorkerInfo): String = "${info.failureDomain}/${info.rack}"

internal fun PlacementState.spreadAfter(
    spec: JobSpec,
    old: Task?,
    new: Task?,
    before: CellState,
    after: CellState
): PersistentMap<WorkId, JobSpread> {
    val oldWorker = old?.placement?.workerId
    val newWorker = new?.placement?.workerId
    if (oldWorker == newWorker) return spread
    var jobSpread = spread[spec.workId] ?: JobSpread()
    oldWorker?.let { before.workers[it] }?.let { jobSpread = jobSpread.withCount(it.info, -1) }
    newWorker?.let { after.workers[it] }?.let { jobSpread = jobSpread.withCount(it.info, 1) }
    return spread.put(spec.workId, jobSpread)
}

/** Only batch tasks are preempted: stopping one task of a gang stops the whole gang. */
internal fun isPreemptible(spec: JobSpec, task: Task): Boolean = spec.kind == JobKind.BATCH &&
    spec.urgency != Urgency.URGENT &&
    task.placement != null &&
    task.phase != TaskPhase.STOPPING

/** Sums per worker of the tasks that match [counts], after one changed from [old] to [new]. */
internal fun PersistentMap<WorkerId, Resources>.recounted(
    old: Task?,
    new: Task?,
    counts: (Task) -> Boolean
): PersistentMap<WorkerId, Resources> {
    val from = old?.takeIf(counts)?.placement
    val to = new?.takeIf(counts)?.placement
    if (from?.workerId == to?.workerId && from?.counted == to?.counted) return this
    var sums = this
    if (from != null) {
        val rest = (sums[from.workerId] ?: Resources()) - from.counted
        sums = if (rest == Resources()) sums - from.workerId else sums.put(from.workerId, rest)
    }
    if (to != null) {
        sums = sums.put(to.workerId, (sums[to.workerId] ?: Resources()) + to.counted)
    }
    return sums
}
