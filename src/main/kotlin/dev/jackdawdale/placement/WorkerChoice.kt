package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobWork
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import dev.jackdawdale.model.minus

/** Longest time from placement to start that backfill allows for. */
private const val START_DELAY_MS = 2_000L

/**
 * Requirements of one task on a worker.
 *
 * @property avoided workers that are excluded because the job failed on them
 * @property endsByMs latest end of the task, or null when it has no time limit
 */
internal data class Demand(
    val job: JobWork,
    val need: Resources = job.spec.perTask,
    val avoided: Set<WorkerId> = emptySet(),
    val endsByMs: Long? = null
)

internal fun demand(
    state: CellState,
    placement: PlacementState,
    job: JobWork,
    nowMs: Long
): Demand {
    val need = placement.needAfterOveruse[job.spec.workId] ?: job.spec.perTask
    return Demand(
        job = job,
        need = need,
        avoided = avoidedWorkers(state, placement, job, need),
        endsByMs = job.spec.timeLimitMs?.let { nowMs + it + START_DELAY_MS }
    )
}

/** Workers on which [job] failed; empty when no other active worker is large enough. */
private fun avoidedWorkers(
    state: CellState,
    placement: PlacementState,
    job: JobWork,
    need: Resources
): Set<WorkerId> {
    if (job.failedWorkers.isEmpty()) return emptySet()
    val usable = job.failedWorkers.count { id ->
        val worker = state.workers[id]
        worker != null &&
            worker.phase == WorkerPhase.ACTIVE &&
            need.fitsInto(worker.info.capacity)
    }
    return if (placement.workers.countLargeEnough(need) > usable) job.failedWorkers else emptySet()
}

/** Free capacity of [worker] less what is reserved against [demand]. */
internal fun PlacementState.available(worker: Worker, demand: Demand): Resources {
    val workId = demand.job.spec.workId
    if (worker.info.workerId !in reservations.byWorker) return worker.free
    return worker.free -
        reservations.reservedForOthers(workId, worker.info.workerId, demand.endsByMs)
}

/** The best active worker for one task, or null when none has room. */
internal fun chooseWorker(state: CellState, placement: PlacementState, demand: Demand): Worker? =
    if (demand.job.spec.kind == JobKind.SERVICE) {
        spreadWorker(state, placement, demand)
    } else {
        bestFitWorker(state, placement, demand)
    }

private fun bestFitWorker(state: CellState, placement: PlacementState, demand: Demand): Worker? {
    for (key in placement.workers.keysFor(demand.need)) {
        var best: Worker? = null
        var bestScore = Double.MAX_VALUE
        for (workerId in placement.workers.byFree.getValue(key)) {
            if (workerId in demand.avoided) continue
            val worker = state.workers.getValue(workerId)
            val available = placement.available(worker, demand)
            if (!demand.need.fitsInto(available)) continue
            val score = leftover(available, demand.need, worker.info.capacity)
            if (score < bestScore) {
                best = worker
                bestScore = score
            }
        }
        if (best != null) return best
    }
    return null
}

/** Free capacity after the placement, as the sum of its fractions of [capacity]. */
private fun leftover(available: Resources, need: Resources, capacity: Resources): Double {
    val rest = available - need
    return fraction(rest.cpuMillis, capacity.cpuMillis) +
        fraction(rest.memoryMib, capacity.memoryMib) +
        fraction(rest.accelerators, capacity.accelerators)
}

private fun fraction(part: Long, whole: Long): Double =
    if (whole > 0) part.toDouble() / whole else 0.0

/** Rank of a worker for a service: few tasks of the job nearby, then much free capacity. */
private data class SpreadRank(
    val accelerated: Boolean,
    val domain: Int,
    val rack: Int,
    val worker: Int,
    val used: Double
) : Comparable<SpreadRank> {
    override fun compareTo(other: SpreadRank): Int = compareValuesBy(
        this,
        other,
        { it.accelerated },
        { it.domain },
        { it.rack },
        { it.worker },
        { it.used }
    )
}

private fun spreadWorker(state: CellState, placement: PlacementState, demand: Demand): Worker? {
    val spread = placement.spread[demand.job.spec.workId] ?: JobSpread()
    var best: Worker? = null
    var bestRank: SpreadRank? = null
    for (key in placement.workers.keysFor(demand.need)) {
        for (workerId in placement.workers.byFree.getValue(key)) {
            val worker = state.workers.getValue(workerId)
            val available = placement.available(worker, demand)
            if (workerId in demand.avoided || !demand.need.fitsInto(available)) continue
            if (bestRank != null && spread.isWorse(worker, demand.need, bestRank)) continue
            val rank = spread.rank(worker, demand.need, available)
            if (bestRank == null || rank < bestRank) {
                best = worker
                bestRank = rank
            }
        }
    }
    return best
}

/** True when accelerators or failure domain decide against [worker]; saves most full ranks. */
private fun JobSpread.isWorse(worker: Worker, need: Resources, best: SpreadRank): Boolean {
    val accelerated = worker.info.capacity.accelerators > 0 && need.accelerators == 0L
    if (accelerated != best.accelerated) return accelerated
    return (domains[worker.info.failureDomain] ?: 0) > best.domain
}

private fun JobSpread.rank(worker: Worker, need: Resources, available: Resources) = SpreadRank(
    accelerated = worker.info.capacity.accelerators > 0 && need.accelerators == 0L,
    domain = domains[worker.info.failureDomain] ?: 0,
    rack = racks[rackKey(worker.info)] ?: 0,
    worker = workers[worker.info.workerId] ?: 0,
    used = -leftover(available, need, worker.info.capacity)
)
