package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.free
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.times

/** Start of a reservation on workers whose work has no time limit. */
private const val UNKNOWN_START_MS = Long.MAX_VALUE

private const val NO_LIMIT = Int.MAX_VALUE

/** Number of tasks of size [need] that fit into [available]. */
internal fun slots(need: Resources, available: Resources): Int = minOf(
    slots(need.cpuMillis, available.cpuMillis),
    slots(need.memoryMib, available.memoryMib),
    slots(need.accelerators, available.accelerators)
)

private fun slots(need: Long, available: Long): Int = when {
    available < 0 -> 0
    need <= 0 -> NO_LIMIT
    else -> minOf(available / need, NO_LIMIT.toLong()).toInt()
}

private data class Room(val worker: Worker, val slots: Int)

/**
 * A worker for each of [count] equal tasks, or null when not all of them fit now. Workers with
 * more room come first, so that the gang is on few workers.
 */
internal fun chooseGangWorkers(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    count: Int
): List<Worker>? {
    val rooms = mutableListOf<Room>()
    var sum = 0L
    for (key in placement.workers.keysFor(demand.need)) {
        for (workerId in placement.workers.byFree.getValue(key)) {
            if (workerId in demand.avoided) continue
            val worker = state.workers.getValue(workerId)
            val fitting = slots(demand.need, placement.available(worker, demand))
            if (fitting > 0) rooms += Room(worker, fitting)
            sum += fitting
        }
    }
    if (sum < count) return null
    return rooms
        .sortedWith(compareBy({ it.wastesAccelerators(demand.need) }, { -it.slots }))
        .asSequence()
        .flatMap { room -> generateSequence { room.worker }.take(minOf(room.slots, count)) }
        .take(count)
        .toList()
}

private fun Room.wastesAccelerators(need: Resources) =
    need.accelerators == 0L && worker.info.capacity.accelerators > 0

/**
 * The reservation with the earliest start for [count] tasks, or null when the cell cannot hold
 * them together. Workers with the most free room are taken first.
 */
internal fun reserve(
    state: CellState,
    placement: PlacementState,
    demand: Demand,
    count: Int,
    nowMs: Long
): Reservation? {
    val rooms = reservableRooms(state, placement, demand)
    val amounts = mutableMapOf<WorkerId, Resources>()
    var missing = count
    var startMs = nowMs
    for (room in rooms) {
        if (missing <= 0) break
        val taken = minOf(room.slots, missing)
        val amount = demand.need * taken
        amounts[room.worker.info.workerId] = amount
        startMs = maxOf(startMs, freeAtMs(state, room.worker, amount, nowMs))
        missing -= taken
    }
    if (missing > 0) return null
    val workId = demand.job.spec.workId
    return Reservation(workId, gangKey(workId), amounts, startMs, forPreemption = false)
}

private fun reservableRooms(
    state: CellState,
    placement: PlacementState,
    demand: Demand
): List<Room> = state.workers.values
    .filter { worker ->
        worker.phase == WorkerPhase.ACTIVE &&
            worker.info.workerId !in demand.avoided &&
            worker.info.workerId !in placement.reservations.byWorker
    }
    .mapNotNull { worker ->
        val lasting = placement.lasting[worker.info.workerId] ?: Resources()
        val possible = slots(demand.need, worker.info.capacity - lasting)
        if (possible > 0) Room(worker, possible) else null
    }
    .sortedWith(
        compareBy(
            { it.wastesAccelerators(demand.need) },
            { -slots(demand.need, it.worker.free) },
            { -it.slots }
        )
    )

/** When [amount] is free on [worker] at the latest, by the time limits of its tasks. */
private fun freeAtMs(state: CellState, worker: Worker, amount: Resources, nowMs: Long): Long {
    var rest = amount - worker.free
    if (!rest.isPositive()) return nowMs
    val byEnd = worker.taskIds
        .mapNotNull { state.tasks[it] }
        .map { it to latestEndMs(state, it) }
        .sortedBy { it.second }
    for ((task, endMs) in byEnd) {
        rest -= task.placement?.counted ?: continue
        if (!rest.isPositive()) return endMs
    }
    return UNKNOWN_START_MS
}

private fun Resources.isPositive() = cpuMillis > 0 || memoryMib > 0 || accelerators > 0

private fun latestEndMs(state: CellState, task: Task): Long {
    val limitMs = state.jobs[task.workId]?.spec?.timeLimitMs ?: return UNKNOWN_START_MS
    val placement = task.placement ?: return UNKNOWN_START_MS
    return (placement.startedAtMs ?: placement.placedAtMs) + limitMs
}
