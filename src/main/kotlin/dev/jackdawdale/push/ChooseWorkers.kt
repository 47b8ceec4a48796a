package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.minus
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.counted

/**
 * A worker as the choice of workers sees it.
 *
 * @property suspect its last runs failed, so it is used last
 * @property ofStep tasks of the step that already hold room there
 */
internal data class WorkerRoom(
    val workerId: String,
    val rack: String,
    val labels: List<String>,
    val free: Resources,
    val suspect: Boolean = false,
    val ofStep: Int = 0
)

/** One task that waits, and the workers on which it failed before. */
internal data class WaitingTask(val index: Int, val failedOn: List<String> = emptyList())

/**
 * Chooses a worker for each task, or for as many as fit. A gang gets all its workers or none.
 *
 * Tasks go to the fullest worker that holds them, so that large tasks find whole workers. Workers
 * near the data go first, suspect ones and those on which the task failed last.
 */
internal fun chooseWorkers(
    spec: StepSpec,
    tasks: List<WaitingTask>,
    rooms: List<WorkerRoom>
): Map<Int, String> {
    val fitting = rooms.filter {
        spec.requiredLabel.isEmpty() || spec.requiredLabel in it.labels
    }
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
    val open = rooms.toMutableList()
    val chosen = LinkedHashMap<Int, String>()
    for (task in tasks) {
        val best = open.indices.filter { open[it].takes(spec, need) }
            .minWithOrNull(preference(spec, task, open)) ?: continue
        val room = open[best]
        chosen[task.index] = room.workerId
        open[best] = room.copy(free = room.free - need, ofStep = room.ofStep + 1)
    }
    return chosen
}

private fun preference(spec: StepSpec, task: WaitingTask, open: List<WorkerRoom>): Comparator<Int> =
    compareBy(
        { open[it].workerId in task.failedOn },
        { open[it].suspect },
        { spec.dataRack.isNotEmpty() && spec.dataRack !in open[it].labels },
        { open[it].free.cpuMillis }
    )

private fun WorkerRoom.takes(spec: StepSpec, need: Resources): Boolean =
    need.fitsInto(free) && (spec.maxPerWorker <= 0 || ofStep < spec.maxPerWorker)
