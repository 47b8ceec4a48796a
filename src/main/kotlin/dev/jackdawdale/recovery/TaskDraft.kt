package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.apply

/** Events of one decision, applied to a private copy of the state as they are added. */
internal class TaskDraft(
    var state: CellState,
    var recovery: TaskRecoveryState,
    private val nowMs: Long
) {
    val events = mutableListOf<Event>()

    /** By how much the counts of each customer's tasks rose in this decision. */
    val grown = mutableMapOf<CustomerId, Resources>()

    fun emit(event: Event) {
        events += event
        state = state.apply(event, nowMs)
    }

    /** Tells the worker of [task] to stop it, unless it was told before. */
    fun stop(task: Task, reason: StopReason) {
        val placement = task.placement ?: return
        if (task.phase == TaskPhase.STOPPING) return
        emit(Event.TaskStopRequested(task.taskId, placement.token, reason))
    }

    fun lose(task: Task, reason: String) {
        val placement = task.placement ?: return
        emit(Event.TaskLost(task.taskId, placement.token, reason))
    }
}
