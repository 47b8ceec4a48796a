package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.free
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.times

/** Upper bound for the slots of one worker, also where a task needs nothing of a resource. */
private const val MAX_SLOTS_PER_WORKER = 1_000

/** Number of tasks of size [need] that fit into [available]. */
internal fun slots(need: Resources, available: Resources): Int = minOf(
    slots(need.cpuMillis, available.cpuMillis),
    slots(need.memoryMib, available.memoryMib),
    slots(need.accelerators, available.accelerators)
)

private fun slots(need: Long, available: Long): Int = when {
    available < 0 -> 0
    need <= 0 -> MAX_SLOTS_PER_WORKER
    else -> minOf(available / need, MAX_SLOTS_PER_WORKER.toLong()).toInt()
}

private data class WorkerSlots(val worker: Worker, val slots: Int)

/**
 * A worker for each of [count] equal tasks, or null when not all of them fit now. Workers with the
 * most slots come first, so that the gang runs on few workers.
 */
internal fun chooseGangWorkers(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    count: Int
): List<Worker>? {
    val candidates = mutableListOf<WorkerSlots>()
    var totalSlots = 0L
    for (key in placement.workers.keysFor(demand.need)) {
        for (workerId in placement.workers.byFree.getValue(key)) {
            if (workerId in demand.avoided) continue
            val worker = state.workers.getValue(workerId)
            val fitting = slots(demand.need, placement.available(worker, demand))
            if (fitting > 0) candidates += WorkerSlots(worker, fitting)
            totalSlots += fitting
        }
    }
    if (totalSlots < count) return null
    return candidates
        .sortedWith(compareBy({ it.wastesAccelerators(demand.need) }, { -it.slots }))
        .asSequence()
        .flatMap { one -> generateSequence { one.worker }.take(minOf(one.slots, count)) }
        .take(count)
        .toList()
}

private fun WorkerSlots.wastesAccelerators(need: Resources) =
    need.accelerators == 0L && worker.info.capacity.accelerators > 0

/** Room for one more task on a worker, free at [freeAtMs] at the latest. */
private data class FutureSlot(val workerId: WorkerId, val freeAtMs: Long)

/** Workers compared for one reservation; comparing 2,700 of them takes too long. */
private const val MAX_RESERVED_WORKERS = 256

/**
 * The reservation with the earliest start for [count] tasks, going by the time limits of the
 * running tasks; null when tasks without a time limit hold too much. It takes a few slots on many
 * workers rather than whole workers, because a worker is empty only after its longest task.
 */
internal fun reserve(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    count: Int,
    nowMs: Long
): Reservation? {
    val earliestSlots = reservableWorkers(state, placement, demand)
        .flatMap { futureSlots(state, placement, it, demand, nowMs) }
        .sortedBy { it.freeAtMs }
        .take(count)
    if (earliestSlots.size < count) return null
    val amounts = earliestSlots.groupingBy { it.workerId }.eachCount()
        .mapValues { (_, slots) -> demand.need * slots }
    val workId = demand.job.spec.workId
    val startMs = earliestSlots.last().freeAtMs
    return Reservation(workId, reservationKey(workId), amounts, startMs, forPreemption = false)
}

private fun reservableWorkers(
    state: CellState,
    placement: PlacementState,
    demand: Demand
): List<Worker> = state.workers.values
    .filter { worker ->
        val withoutTimeLimit = placement.withoutTimeLimit[worker.info.workerId] ?: Resources()
        worker.phase == WorkerPhase.ACTIVE &&
            worker.info.workerId !in demand.avoided &&
            slots(demand.need, worker.info.capacity - withoutTimeLimit) > 0
    }
    .sortedWith(
        compareBy(
            { demand.need.accelerators == 0L && it.info.capacity.accelerators > 0 },
            { -slots(demand.need, it.free) }
        )
    )
    .take(MAX_RESERVED_WORKERS)

private fun futureSlots(
    state: CellState,
    placement: PlacementState,
    worker: Worker,
    demand: Demand,
    nowMs: Long
): List<FutureSlot> {
    val workerId = worker.info.workerId
    val workId = demand.job.spec.workId
    val result = mutableListOf<FutureSlot>()
    var room = worker.free - placement.reservations.reservedForOthers(workId, workerId, null)
    repeat(slots(demand.need, room)) { result += FutureSlot(workerId, nowMs) }
    val byEnd = worker.taskIds
        .mapNotNull { state.tasks[it] }
        .mapNotNull { task -> latestEndMs(state, task)?.let { task to it } }
        .sortedBy { it.second }
    for ((task, endMs) in byEnd) {
        room += task.placement?.counted ?: continue
        val more = slots(demand.need, room) - result.size
        repeat(maxOf(more, 0)) { result += FutureSlot(workerId, maxOf(endMs, nowMs)) }
    }
    return result
}

/** Latest end of [task], or null when it has no time limit. */
private fun latestEndMs(state: CellState, task: Task): Long? {
    val limitMs = state.jobs[task.workId]?.spec?.timeLimitMs ?: return null
    val placement = task.placement ?: return null
    return (placement.startedAtMs ?: placement.placedAtMs) + limitMs
}
