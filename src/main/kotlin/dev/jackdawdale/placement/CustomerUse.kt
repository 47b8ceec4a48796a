package dev.jackdawdale.placement

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus

/**
 * What the tasks of one customer hold on workers.
 *
 * @property held sum of what its placed tasks count for
 * @property stopping the part of [held] whose tasks were told to stop
 * @property tasks number of placed tasks
 */
internal data class CustomerUse(
    val held: Resources = Resources(),
    val stopping: Resources = Resources(),
    val tasks: Int = 0
)

internal operator fun CustomerUse.plus(task: Task): CustomerUse {
    val counted = task.placement?.counted ?: return this
    val more = if (task.phase == TaskPhase.STOPPING) counted else Resources()
    return CustomerUse(held + counted, stopping + more, tasks + 1)
}

internal operator fun CustomerUse.minus(task: Task): CustomerUse {
    val counted = task.placement?.counted ?: return this
    val less = if (task.phase == TaskPhase.STOPPING) counted else Resources()
    return CustomerUse(held - counted, stopping - less, tasks - 1)
}

/** What remains once the stopping tasks have ended. */
internal val CustomerUse.lasting: Resources get() = held - stopping

/** True when [count] more tasks of size [need] keep the ceilings of [contract]. */
internal fun CustomerUse.allows(contract: Contract, need: Resources, count: Int): Boolean =
    tasks + count <= contract.maxRunningTasks && (held + need).fitsInto(contract.ceiling)

/** True when [need] more is still within the guaranteed share of [contract]. */
internal fun CustomerUse.withinGuarantee(contract: Contract, need: Resources): Boolean =
    (lasting + need).fitsInto(contract.guaranteed)

/**
 * True when stopping a task of size [victim] leaves the customer at least its guaranteed share:
 * in one dimension the rest still reaches what is guaranteed.
 */
internal fun CustomerUse.canSpare(contract: Contract?, victim: Resources): Boolean {
    val guaranteed = contract?.guaranteed ?: return true
    if (guaranteed == Resources()) return true
    val rest = lasting - victim
    return reaches(rest.cpuMillis, guaranteed.cpuMillis) ||
        reaches(rest.memoryMib, guaranteed.memoryMib) ||
        reaches(rest.accelerators, guaranteed.accelerators)
}

private fun reaches(rest: Long, guaranteed: Long) = guaranteed > 0 && rest >= guaranteed

/** The greatest of the three fractions of [total] that [held] takes. */
internal fun dominantShare(held: Resources, total: Resources): Double = maxOf(
    fraction(held.cpuMillis, total.cpuMillis),
    fraction(held.memoryMib, total.memoryMib),
    fraction(held.accelerators, total.accelerators)
)

private fun fraction(part: Long, whole: Long): Double =
    if (whole > 0) part.toDouble() / whole else 0.0
