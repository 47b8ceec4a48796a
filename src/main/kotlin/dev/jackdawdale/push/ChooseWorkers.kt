package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.reservedPerTask

/**
 * A worker and its free capacity, as input for choosing workers.
 *
 * @property suspect its recent runs failed, stalled or were slow, so it is used last
 * @property ofStep number of tasks of the step that are already placed there
 * @property ticketed no further advice is needed to start a task there
 */
internal data class AvailableWorker(
    val workerId: String,
    val rack: String,
    val labels: List<String>,
    val free: Resources,
    val suspect: Boolean = false,
    val ofStep: Int = 0,
    val ticketed: Boolean = true
)

/** A task without a placement, and the workers on which it failed before. */
internal data class WaitingTask(val index: Int, val failedOn: List<String> = emptyList())

/**
 * Chooses a worker for each task, or for as many as fit. A gang gets all its workers or none.
 *
 * Best fit: a task goes to the fullest worker that can take it, which keeps empty workers for large
 * tasks. Workers near the data are preferred, then those that need no further advice; suspect
 * workers and those on which the task failed come last.
 */
internal fun chooseWorkers(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    workers: List<AvailableWorker>
): Map<Int, String> {
    val fitting = workers.filter { it.hasLabelFor(spec) }
    if (spec.gang && spec.oneRack) {
        val within = fitting.groupBy { it.rack }.values
            .map { fillWorkers(spec, tasks, it) }
            .firstOrNull { it.size == tasks.size }
        if (within != null) return within
    }
    val chosen = fillWorkers(spec, tasks, fitting)
    return if (spec.gang && chosen.size < tasks.size) emptyMap() else chosen
}

/** Chooses workers for as many tasks as fit; a gang may get only some of its workers. */
internal fun fillWorkers(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    workers: List<AvailableWorker>
): Map<Int, String> {
    val need = spec.reservedPerTask
    val open = workers.filter { it.hasLabelFor(spec) && it.slots(spec) > 0 }
        .sortedWith(preference(spec))
        .toMutableList()
    val chosen = LinkedHashMap<Int, String>()
    for (task in tasks) {
        // A worker that takes a task becomes fuller and stays the preferred one until it is full.
        val best = open.indexOfFirst { it.workerId !in task.failedOn }.takeIf { it >= 0 }
            ?: open.indices.firstOrNull()
            ?: break
        val worker = open[best]
        chosen[task.index] = worker.workerId
        val left = worker.copy(free = worker.free - need, ofStep = worker.ofStep + 1)
        if (left.slots(spec) > 0) open[best] = left else open.removeAt(best)
    }
    return chosen
}

private fun preference(spec: StepSpec): Comparator<AvailableWorker> = compareBy(
    { it.suspect },
    { spec.dataRack.isNotEmpty() && spec.dataRack !in it.labels },
    { !it.ticketed },
    { it.free.cpuMillis }
)

internal fun AvailableWorker.hasLabelFor(spec: StepSpec): Boolean =
    spec.requiredLabel.isEmpty() || spec.requiredLabel in labels

/** Number of further tasks of the step that the worker can take. */
internal fun AvailableWorker.slots(spec: StepSpec): Int {
    val need = spec.reservedPerTask
    val byResources = listOf(
        slots(free.cpuMillis, need.cpuMillis),
        slots(free.memoryMib, need.memoryMib),
        slots(free.accelerators, need.accelerators)
    ).min()
    val byLimit = if (spec.maxPerWorker > 0) spec.maxPerWorker - ofStep else Int.MAX_VALUE
    return minOf(byResources, byLimit).coerceAtLeast(0)
}

private fun slots(free: Long, need: Long): Int =
    if (need <= 0) Int.MAX_VALUE else (free / need).coerceIn(0, MAX_SLOTS).toInt()

private const val MAX_SLOTS = 1_000_000L

/**
 * Chooses the workers to ask the adviser about, enough for [tasks] tasks when the policy allows
 * [allowedShare] of them. Workers without capacity come last, and only if the others don't suffice.
 *
 * While a long call is in flight, other steps fill the fullest workers, so a long call asks about
 * the emptiest ones. Steps that ask at the same time ask about different workers.
 *
 * @param seed varies the order of equal workers between steps
 */
internal fun chooseWorkersToAsk(
    spec: StepSpec,
    tasks: Int,
    workers: List<AvailableWorker>,
    allowedShare: Double,
    isLong: Boolean,
    seed: Int
): List<AvailableWorker> {
    val needed = tasks / allowedShare * ASK_MARGIN
    val byPreference = workers.filter { it.hasLabelFor(spec) }
        .map { Triple(it, it.slots(spec), (it.workerId.hashCode() xor seed) * HASH_FACTOR) }
        .sortedWith(
            compareBy(
                { it.first.suspect },
                { spec.dataRack.isNotEmpty() && spec.dataRack !in it.first.labels },
                { it.second == 0 },
                { if (isLong) -it.second else it.second },
                { it.third }
            )
        )
    val slotsBefore = byPreference.runningFold(0) { sum, (_, slots, _) ->
        sum + slots.coerceIn(1, tasks)
    }
    return byPreference.filterIndexed { number, _ ->
        slotsBefore[number] < needed || number < MIN_WORKERS_TO_ASK
    }.map { it.first }
}

/** Asks about more than the expected need: shares vary, and other steps take some capacity. */
private const val ASK_MARGIN = 1.5

/** A policy may refuse all of a few workers, and another call costs more than a larger one. */
private const val MIN_WORKERS_TO_ASK = 16

/** Spreads the hashes of similar ids over all values. */
private const val HASH_FACTOR = -0x61c88647
