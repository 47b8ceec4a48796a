package dev.jackdawdale.push

import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.StepSpec

/**
 * A worker that a gang may use, with the room that it will have.
 *
 * @property available the worker, without the room that is reserved for others
 * @property ends room that becomes free, in ascending order of time
 * @property ticketUntilMs the gang's ticket is valid for starts until then; null without one
 */
internal class FutureWorker(
    val available: AvailableWorker,
    val ends: List<ExpectedEnd>,
    val ticketUntilMs: Long?
)

/**
 * Where and when a gang is expected to start.
 *
 * @property workerIds a worker for each task
 * @property roomMs when all of them are expected to have room
 * @property startMs when it is expected to have all tickets, too
 */
internal class GangPlan(val workerIds: List<String>, val roomMs: Long, val startMs: Long)

/**
 * Plans the earliest start of a gang of [tasks] tasks, or returns null if the workers can't hold
 * it.
 *
 * Answers a full cell with small tasks: room on a worker that is large enough for a task of the
 * gang appears only if the room that becomes free is kept together.
 *
 * @param ticketsMs when tickets arrive that are requested now
 */
internal fun planGang(
    spec: StepSpec,
    tasks: Int,
    workers: List<FutureWorker>,
    ticketsMs: Long,
    nowMs: Long
): GangPlan? {
    val places = ArrayList<Place>()
    for (worker in workers) {
        if (!worker.available.hasLabelFor(spec)) continue
        worker.placeTimesMs(spec, tasks, nowMs).forEach { roomMs ->
            val hasTicket = worker.ticketUntilMs != null && worker.ticketUntilMs > roomMs
            val startMs = if (hasTicket) roomMs else maxOf(roomMs, ticketsMs)
            places += Place(worker.available, roomMs, startMs)
        }
    }
    if (places.size < tasks) return null
    places.sortWith(EARLIEST)
    val chosen = places.subList(0, tasks)
    return GangPlan(
        chosen.map { it.worker.workerId },
        chosen.maxOf { it.roomMs },
        chosen.maxOf { it.startMs }
    )
}

/** The times from which the worker has room for a first, second, ... task; at most [tasks]. */
private fun FutureWorker.placeTimesMs(spec: StepSpec, tasks: Int, nowMs: Long): List<Long> {
    val times = ArrayList<Long>()
    var worker = available
    repeat(minOf(worker.slots(spec), tasks)) { times += nowMs }
    for (end in ends) {
        if (times.size >= tasks) break
        worker = worker.copy(free = worker.free + end.reserved)
        repeat(minOf(worker.slots(spec), tasks) - times.size) { times += end.atMs }
    }
    return times
}

/** Room for one task of a gang. */
private class Place(val worker: AvailableWorker, val roomMs: Long, val startMs: Long)

/** The fullest worker of equal ones goes first, which keeps empty workers for large tasks. */
private val EARLIEST = compareBy<Place>(
    { it.worker.suspect },
    { it.worker.tooSlow },
    { it.startMs },
    { it.roomMs },
    { it.worker.free.cpuMillis }
)
