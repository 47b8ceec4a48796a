package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.apply

/** Collects the events of one decision and applies each to a private copy of the state. */
internal class TaskDraft(
    var state: CellState,
    var recovery: TaskRecoveryState,
    private val nowMs: Long
) {
    val events = mutableListOf<Event>()

    /** Growth of the resources counted for each customer in this decision. */
    val customerGrowth = mutableMapOf<CustomerId, Resources>()

    fun emit(event: Event) {
        events += event
        state = state.apply(event, nowMs)
    }

    /** Requests that the worker of [task] stops it, unless this was requested before. */
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
