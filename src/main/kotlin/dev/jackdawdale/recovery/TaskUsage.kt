package dev.jackdawdale.recovery

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.ReportedTask
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.componentwiseMax
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import kotlinx.collections.immutable.minus

/** Usage is rounded up to these steps; otherwise every report would change the state. */
private const val CPU_STEP_MILLIS = 100L
private const val MEMORY_STEP_MIB = 64L

/** The counted size is lowered once more than `1 / LOWER_DIVISOR` of it is unused. */
private const val LOWER_DIVISOR = 10

internal fun Resources.without(task: Task): Resources =
    this - (task.placement?.counted ?: Resources())

/**
 * Counts tasks at what they use, as far as the worker has room and the customer's ceiling permits.
 * A task that uses more is throttled by its orders; the newest one that keeps doing so is stopped.
 */
internal fun TaskDraft.recount(workerId: WorkerId, running: List<ReportedTask>, nowMs: Long) {
    val over = mutableListOf<Task>()
    for (report in running) {
        val task = taskHeldBy(workerId, report.taskId, report.token) ?: continue
        recountTask(task, report.usage)
        val counted = state.tasks.getValue(task.taskId).placement?.counted ?: continue
        if (report.usage.fitsInto(counted)) {
            recovery = recovery.copy(overusing = recovery.overusing - task.taskId)
        } else {
            over += task
        }
    }
    if (over.isNotEmpty()) stopNewestOverusing(workerId, over, nowMs)
}

private fun TaskDraft.recountTask(task: Task, usage: Resources) {
    val counted = task.placement?.counted ?: return
    val wanted = task.declared.componentwiseMax(usage.roundedUp())
    val growth = wanted.componentwiseMax(counted) - counted
    val allowed = growth.atMost(roomFor(task)).componentwiseMax(Resources())
    val next = if (growth == Resources()) lowered(counted, wanted) else counted + allowed
    if (next == counted) return
    state.jobs[task.workId]?.spec?.customerId?.let { customerId ->
        customerGrowth[customerId] = (customerGrowth[customerId] ?: Resources()) + (next - counted)
    }
    emit(Event.TaskAllocationChanged(task.taskId, checkNotNull(task.placement).token, next))
}

private fun lowered(counted: Resources, wanted: Resources): Resources {
    val slack = counted - wanted
    val worthwhile = slack.cpuMillis * LOWER_DIVISOR > counted.cpuMillis ||
        slack.memoryMib * LOWER_DIVISOR > counted.memoryMib ||
        slack.accelerators > 0
    return if (worthwhile) wanted else counted
}

private fun TaskDraft.roomFor(task: Task): Resources {
    val workerId = checkNotNull(task.placement).workerId
    val free = state.workers.getValue(workerId).free
    val customerId = state.jobs[task.workId]?.spec?.customerId ?: return free
    val ceiling = state.contracts[customerId]?.ceiling ?: return free
    return free.atMost(ceiling - held(customerId))
}

/** Resources counted for the customer's tasks, including growth within this decision. */
private fun TaskDraft.held(customerId: CustomerId): Resources =
    (recovery.use[customerId] ?: Resources()) + (customerGrowth[customerId] ?: Resources())

private fun Resources.roundedUp() = Resources(
    (cpuMillis + CPU_STEP_MILLIS - 1) / CPU_STEP_MILLIS * CPU_STEP_MILLIS,
    (memoryMib + MEMORY_STEP_MIB - 1) / MEMORY_STEP_MIB * MEMORY_STEP_MIB,
    accelerators
)

private fun Resources.atMost(other: Resources) = Resources(
    minOf(cpuMillis, other.cpuMillis),
    minOf(memoryMib, other.memoryMib),
    minOf(accelerators, other.accelerators)
)

private fun TaskDraft.stopNewestOverusing(workerId: WorkerId, over: List<Task>, nowMs: Long) {
    for (task in over) {
        if (task.taskId in recovery.overusing) continue
        recovery = recovery.copy(overusing = recovery.overusing.put(task.taskId, nowMs))
    }
    val graceMs = recovery.settings.overuseGraceMs
    val stoppedMs = recovery.contacts[workerId]?.overuseStopMs ?: 0
    if (stoppedMs > 0 && nowMs - stoppedMs < graceMs) return
    val newest = over
        .filter { it.phase != TaskPhase.STOPPING }
        .filter { nowMs - (recovery.overusing[it.taskId] ?: nowMs) >= graceMs }
        .maxByOrNull { checkNotNull(it.placement).token }
        ?: return
    stop(newest, StopReason.OVERUSE)
    recovery = recovery.updateContact(workerId) { it.copy(overuseStopMs = nowMs) }
}
