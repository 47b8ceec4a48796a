package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.recordCompletedBy
import dev.jackdawdale.placement.PlacementState
import dev.jackdawdale.recovery.TaskRecoveryState
import dev.jackdawdale.routing.RoutingState

/**
 * A batch of inputs decided together on the control thread. Events change [state] and [soft] at
 * once; [effects], such as messages to other processes, wait until the events are committed.
 */
internal class Pass(
    state: CellState,
    soft: SoftState,
    /** The leader's time for the whole pass, in milliseconds since the epoch. */
    val nowMs: Long
) {
    var state: CellState = state
        private set

    var soft: SoftState = soft

    private val emitted = mutableListOf<Event>()
    private val completed = mutableListOf<WorkRecord>()
    private val deferred = mutableListOf<() -> Unit>()

    val events: List<Event> get() = emitted
    val records: List<WorkRecord> get() = completed
    val effects: List<() -> Unit> get() = deferred

    fun emit(event: Event) {
        val before = state
        before.recordCompletedBy(event, nowMs)?.let(completed::add)
        state = before.apply(event, nowMs)
        soft = soft.observe(event, before, state, nowMs)
        emitted += event
    }

    fun emitAll(events: List<Event>) = events.forEach(::emit)

    fun replaceRouting(routing: RoutingState) {
        soft = soft.copy(routing = routing)
    }

    fun replacePlacement(placement: PlacementState) {
        soft = soft.copy(placement = placement)
    }

    fun replaceTasks(tasks: TaskRecoveryState) {
        soft = soft.copy(tasks = tasks)
    }

    /** Runs [effect] on the control thread once all decisions so far are durable. */
    fun whenDurable(effect: () -> Unit) {
        deferred += effect
    }
}
