package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.reservedPerTask
import java.util.TreeSet

/**
 * A worker and its free capacity, as input for choosing workers.
 *
 * @property suspect its recent runs failed, stalled or were slow, so it is used last
 * @property ofStep number of tasks of the step that are already placed there
 * @property ticketed no further advice is needed to start a task there
 * @property speedGroup see [WorkerSpeed.group]
 * @property tooSlow the step would be late there because of the worker's speed
 */
internal data class AvailableWorker(
    val workerId: String,
    val rack: String,
    val labels: List<String>,
    val free: Resources,
    val suspect: Boolean = false,
    val ofStep: Int = 0,
    val ticketed: Boolean = true,
    val speedGroup: Int = 0,
    val tooSlow: Boolean = false
)

/** A task without a placement, and the workers on which it failed before. */
internal data class WaitingTask(val index: Int, val failedOn: List<String> = emptyList())

/**
 * Chooses a worker for each task, or for as many as fit. A gang gets all its workers or none.
 *
 * Best fit: a task goes to the fullest worker that can take it, which keeps empty workers for large
 * tasks. Workers near the data are preferred, then those that need no further advice, then the
 * slower ones of those that are fast enough, which keeps the fast ones for steps with less time.
 * Suspect workers, those that are too slow and those on which the task failed come last.
 */
internal fun chooseWorkers(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    workers: List<AvailableWorker>
): Map<Int, String> {
    val fitting = workers.filter { it.hasLabelFor(spec) }
    if (spec.gang && spec.oneRack) {
        val within = fitting.groupBy { it.rack }.values
            .map { chooseGang(spec, tasks, it) }
            .firstOrNull { it.isNotEmpty() }
        if (within != null) return within
    }
    return if (spec.gang) chooseGang(spec, tasks, fitting) else fillWorkers(spec, tasks, fitting)
}

/** Chooses workers; a gang starts at once if the workers with tickets suffice. */
internal fun chooseNow(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    workers: List<AvailableWorker>
): Map<Int, String> {
    if (!spec.gang) return chooseWorkers(spec, tasks, workers)
    val atOnce = chooseWorkers(spec, tasks, workers.filter { it.ticketed })
    if (atOnce.isEmpty()) return chooseWorkers(spec, tasks, workers)
    val slow = workers.filter { it.tooSlow }.mapTo(HashSet()) { it.workerId }
    if (atOnce.values.none { it in slow }) return atOnce
    val later = chooseWorkers(spec, tasks, workers.filterNot { it.tooSlow })
    return later.ifEmpty { atOnce }
}

/**
 * Chooses workers for all tasks of a gang, or none. A gang ends with its slowest member, so members
 * on faster workers would hold them for nothing: workers of one speed are preferred, the slowest
 * that are fast enough; failing that, the set whose slowest worker is fastest.
 */
private fun chooseGang(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    workers: List<AvailableWorker>
): Map<Int, String> {
    // Counts places first: a choice costs far more, and most sets are too small on a full cell.
    val open = workers.filter { it.slots(spec) > 0 }
    if (!open.fits(spec, tasks.size)) return emptyMap()
    val sound = open.filter { !it.suspect }
    val groups = sound.mapTo(TreeSet()) { it.speedGroup }
    val sets = if (groups.size < 2 && open.none { it.tooSlow }) {
        emptySequence()
    } else {
        val fast = sound.filter { !it.tooSlow }.groupBy { it.speedGroup }
        groups.asSequence().map { fast[it].orEmpty() } +
            groups.descendingSet().asSequence().map { least ->
                sound.filter { it.speedGroup >= least }
            }
    }
    return fillWorkers(spec, tasks, sets.firstOrNull { it.fits(spec, tasks.size) } ?: open)
}

private fun List<AvailableWorker>.fits(spec: StepSpec, tasks: Int): Boolean =
    sumOf { minOf(it.slots(spec), tasks) } >= tasks

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
    { it.tooSlow },
    { spec.dataRack.isNotEmpty() && spec.dataRack !in it.labels },
    { !it.ticketed },
    { if (it.tooSlow) -it.speedGroup else it.speedGroup },
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
                { it.first.tooSlow },
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
