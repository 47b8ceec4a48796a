package dev.jackdawdale.placement

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.times

/**
 * Resources that the tasks of one customer hold on workers.
 *
 * @property held sum of the counted resources of its placed tasks
 * @property stopping the part of [held] that belongs to stopping tasks
 * @property tasks number of placed tasks
 */
internal data class CustomerUse(
    val held: Resources = Resources(),
    val stopping: Resources = Resources(),
    val tasks: Int = 0
)

/** The use with [count] more tasks, or fewer if negative, of size [each]. */
internal fun CustomerUse.withTasks(each: Resources, count: Int): CustomerUse =
    copy(held = held + each * count, tasks = tasks + count)

internal operator fun CustomerUse.plus(other: CustomerUse): CustomerUse =
    CustomerUse(held + other.held, stopping + other.stopping, tasks + other.tasks)

internal operator fun CustomerUse.plus(task: Task): CustomerUse {
    val counted = task.placement?.counted ?: return this
    val added = if (task.phase == TaskPhase.STOPPING) counted else Resources()
    return CustomerUse(held + counted, stopping + added, tasks + 1)
}

internal operator fun CustomerUse.minus(task: Task): CustomerUse {
    val counted = task.placement?.counted ?: return this
    val removed = if (task.phase == TaskPhase.STOPPING) counted else Resources()
    return CustomerUse(held - counted, stopping - removed, tasks - 1)
}

/** Resources held once the stopping tasks have ended. */
internal val CustomerUse.afterStops: Resources get() = held - stopping

/** True when [count] more tasks that need [need] in sum stay within the limits of [contract]. */
internal fun CustomerUse.allows(contract: Contract, need: Resources, count: Int): Boolean =
    tasks + count <= contract.maxRunningTasks && (held + need).fitsInto(contract.ceiling)

/** How many of [count] more tasks of size [each] stay within the limits of [contract]. */
internal fun CustomerUse.countAllowed(contract: Contract, each: Resources, count: Int): Int {
    if (count == 0 || !allows(contract, each, 1)) return 0
    if (allows(contract, each * count, count)) return count
    var allowed = 1
    var refused = count
    while (refused - allowed > 1) {
        val middle = (allowed + refused) / 2
        if (allows(contract, each * middle, middle)) allowed = middle else refused = middle
    }
    return allowed
}

/** True when the customer stays within the guaranteed share of [contract] with [need] more. */
internal fun CustomerUse.withinGuarantee(contract: Contract, need: Resources): Boolean =
    (afterStops + need).fitsInto(contract.guaranteed)

/**
 * True when the customer keeps its guaranteed share after a task of size [victim] stops. It does
 * when the rest reaches the guaranteed amount in at least one dimension.
 */
internal fun CustomerUse.canSpare(contract: Contract?, victim: Resources): Boolean {
    val guaranteed = contract?.guaranteed ?: return true
    if (guaranteed == Resources()) return true
    val rest = afterStops - victim
    return reaches(rest.cpuMillis, guaranteed.cpuMillis) ||
        reaches(rest.memoryMib, guaranteed.memoryMib) ||
        reaches(rest.accelerators, guaranteed.accelerators)
}

private fun reaches(rest: Long, guaranteed: Long) = guaranteed > 0 && rest >= guaranteed

/** Dominant share: the largest fraction of [total] that [held] takes in any dimension. */
internal fun dominantShare(held: Resources, total: Resources): Double = maxOf(
    fraction(held.cpuMillis, total.cpuMillis),
    fraction(held.memoryMib, total.memoryMib),
    fraction(held.accelerators, total.accelerators)
)

private fun fraction(part: Long, whole: Long): Double =
    if (whole > 0) part.toDouble() / whole else 0.0
