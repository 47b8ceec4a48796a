package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.counted

/**
 * A worker as the choice of workers sees it.
 *
 * @property suspect its last runs failed, so it is used last
 * @property ofStep tasks of the step that already hold room there
 * @property ticketed an order to start there needs no further advice
 */
internal data class WorkerRoom(
    val workerId: String,
    val rack: String,
    val labels: List<String>,
    val free: Resources,
    val suspect: Boolean = false,
    val ofStep: Int = 0,
    val ticketed: Boolean = true
)

/** One task that waits, and the workers on which it failed before. */
internal data class WaitingTask(val index: Int, val failedOn: List<String> = emptyList())

/**
 * Chooses a worker for each task, or for as many as fit. A gang gets all its workers or none.
 *
 * Tasks go to the fullest worker that holds them, so that large tasks find whole workers. Workers
 * near the data go first, then those that need no further advice; suspect ones and those on which
 * the task failed go last.
 */
internal fun chooseWorkers(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    rooms: List<WorkerRoom>
): Map<Int, String> {
    val fitting = rooms.filter { it.hasLabelFor(spec) }
    if (spec.gang && spec.oneRack) {
        val within = fitting.groupBy { it.rack }.values
            .map { fillWorkers(spec, tasks, it) }
            .firstOrNull { it.size == tasks.size }
        if (within != null) return within
    }
    val chosen = fillWorkers(spec, tasks, fitting)
    return if (spec.gang && chosen.size < tasks.size) emptyMap() else chosen
}

/** Gives as many of the tasks a worker as fit, also of a gang. */
internal fun fillWorkers(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    rooms: List<WorkerRoom>
): Map<Int, String> {
    val need = spec.counted
    val open = rooms.filter { it.hasLabelFor(spec) && it.slots(spec) > 0 }
        .sortedWith(preference(spec))
        .toMutableList()
    val chosen = LinkedHashMap<Int, String>()
    for (task in tasks) {
        // A worker that takes a task becomes fuller and stays the preferred one until it is full.
        val best = open.indexOfFirst { it.workerId !in task.failedOn }.takeIf { it >= 0 }
            ?: open.indices.firstOrNull()
            ?: break
        val room = open[best]
        chosen[task.index] = room.workerId
        val left = room.copy(free = room.free - need, ofStep = room.ofStep + 1)
        if (left.slots(spec) > 0) open[best] = left else open.removeAt(best)
    }
    return chosen
}

private fun preference(spec: StepSpec): Comparator<WorkerRoom> = compareBy(
    { it.suspect },
    { spec.dataRack.isNotEmpty() && spec.dataRack !in it.labels },
    { !it.ticketed },
    { it.free.cpuMillis }
)

internal fun WorkerRoom.hasLabelFor(spec: StepSpec): Boolean =
    spec.requiredLabel.isEmpty() || spec.requiredLabel in labels

/** How many tasks of the step the worker can take. */
internal fun WorkerRoom.slots(spec: StepSpec): Int {
    val need = spec.counted
    val byRoom = listOf(
        slots(free.cpuMillis, need.cpuMillis),
        slots(free.memoryMib, need.memoryMib),
        slots(free.accelerators, need.accelerators)
    ).min()
    val byLimit = if (spec.maxPerWorker > 0) spec.maxPerWorker - ofStep else Int.MAX_VALUE
    return minOf(byRoom, byLimit).coerceAtLeast(0)
}

private fun slots(free: Long, need: Long): Int =
    if (need <= 0) Int.MAX_VALUE else (free / need).coerceIn(0, MAX_SLOTS).toInt()

private const val MAX_SLOTS = 1_000_000L

/**
 * Chooses the workers to ask the adviser about, enough for [tasks] tasks when the policy allows
 * [allowedShare] of them. Workers without room come last, and only if the others do not suffice.
 *
 * While a long call is under way, other steps take the room on the fullest workers, so a long call
 * is about the emptiest ones. Steps that ask at the same time ask about different workers.
 */
internal fun chooseAsked(
    spec: StepSpec,
    tasks: Int,
    rooms: List<WorkerRoom>,
    allowedShare: Double,
    isLong: Boolean,
    seed: Int
): List<WorkerRoom> {
    val needed = tasks / allowedShare * ASK_MARGIN
    val byRoom = rooms.filter { it.hasLabelFor(spec) }
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
    val slotsBefore = byRoom.runningFold(0) { sum, (_, slots, _) -> sum + slots.coerceIn(1, tasks) }
    return byRoom.filterIndexed { number, _ ->
        slotsBefore[number] < needed || number < MIN_ASKED
    }.map { it.first }
}

/** Room that is asked about beyond the expected need: shares vary, and others take some of it. */
private const val ASK_MARGIN = 1.5

/** Of a few workers a policy may happen to allow none, and the next call costs more than these. */
private const val MIN_ASKED = 16

/** Spreads the hashes of similar ids over all values. */
private const val HASH_FACTOR = -0x61c88647
