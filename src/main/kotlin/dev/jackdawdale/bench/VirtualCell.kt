package dev.jackdawdale.bench

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.model.apply
import dev.jackdawdale.placement.PlacementResult
import dev.jackdawdale.placement.PlacementSettings
import dev.jackdawdale.placement.PlacementState
import dev.jackdawdale.placement.observe
import dev.jackdawdale.placement.place
import dev.jackdawdale.placement.placementState
import dev.jackdawdale.recovery.TaskRecoverySettings
import dev.jackdawdale.recovery.TaskRecoveryState
import dev.jackdawdale.recovery.decideAnnouncement
import dev.jackdawdale.recovery.decideTick
import dev.jackdawdale.recovery.leaseGranted
import dev.jackdawdale.recovery.observe
import dev.jackdawdale.recovery.ordersFor
import dev.jackdawdale.recovery.taskRecoveryState

private const val POLL_MS = 1_000L
private const val TICK_MS = 100L

/** Places waiting tasks; the parameters are those of `place`. */
internal typealias Placer = (CellState, PlacementState, nowMs: Long, limit: Int) -> PlacementResult

/** Limits and policies of a virtual cell. */
internal data class VirtualCellSettings(
    val placement: PlacementSettings = PlacementSettings(),
    val recovery: TaskRecoverySettings = TaskRecoverySettings(),
    val placer: Placer = ::place,
    val placeLimit: Int = 200
)

/**
 * Runs the task decisions in virtual time against virtual workers.
 *
 * @property plan duration, usage and result of a run on a worker
 * @property losesAnswer returns whether the next answer to a worker is lost
 * @property observer called with each event and the state before it
 */
internal class VirtualCell(
    private val settings: VirtualCellSettings = VirtualCellSettings(),
    private val plan: (WorkerId, WorkerOrder.Start) -> RunPlan,
    private val losesAnswer: () -> Boolean = { false },
    private val observer: (Event, CellState, nowMs: Long) -> Unit = { _, _, _ -> }
) {
    var nowMs = 0L
        private set
    var state = CellState()
        private set
    var placement = placementState(state, nowMs, settings.placement)
        private set
    var recovery: TaskRecoveryState = taskRecoveryState(state, nowMs, settings.recovery)
        private set
    val workers = linkedMapOf<WorkerId, VirtualWorker>()

    private var nextTickMs = 0L

    fun addWorker(info: WorkerInfo) {
        workers[info.workerId] = VirtualWorker(info, settings.recovery.leaseMs)
        announce(workers.getValue(info.workerId))
    }

    fun append(events: List<Event>) = events.forEach(::append)

    fun append(event: Event) {
        val before = state
        state = before.apply(event, nowMs)
        placement = placement.observe(event, before, state, nowMs)
        recovery = recovery.observe(event, before, state, nowMs)
        observer(event, before, nowMs)
        orderedTask(event)?.let { pollNow(it, before) }
    }

    /** Simulates a new leader: rebuilds the soft states from the replicated state. */
    fun changeLeader() {
        placement = placementState(state, nowMs, settings.placement)
        recovery = taskRecoveryState(state, nowMs, settings.recovery)
    }

    /** Advances the time to [untilMs] in steps of [stepMs]. */
    fun run(untilMs: Long, stepMs: Long = 50) {
        while (nowMs < untilMs) step(stepMs)
    }

    fun step(stepMs: Long) {
        nowMs += stepMs
        for (worker in workers.values) {
            worker.advance(nowMs)
            val due = nowMs >= worker.nextPollMs || worker.ended.isNotEmpty()
            if (due && !worker.silent) announce(worker)
        }
        if (nowMs >= nextTickMs) tick()
        place()
    }

    fun tick() {
        nextTickMs = nowMs + TICK_MS
        val decision = decideTick(state, recovery, nowMs)
        recovery = decision.recovery
        append(decision.events)
    }

    fun place() {
        val decision = settings.placer(state, placement, nowMs, settings.placeLimit)
        placement = decision.placement
        append(decision.events)
    }

    fun announce(worker: VirtualWorker) {
        worker.nextPollMs = nowMs + POLL_MS
        val report = worker.report()
        val ended = worker.ended.values.toList()
        val decision =
            decideAnnouncement(state, recovery, worker.info, worker.leaving, report, ended, nowMs)
        recovery = decision.recovery
        append(decision.events)
        if (!decision.current) return
        val workerId = worker.info.workerId
        val orders = ordersFor(state, workerId, report)
        recovery = leaseGranted(recovery, workerId, nowMs)
        if (losesAnswer()) return
        // A worker polls again at once after orders, so that their effects are reported.
        if (orders.isNotEmpty()) worker.nextPollMs = nowMs
        worker.receive(orders, decision.acknowledged, nowMs) { plan(workerId, it) }
    }

    /** The task whose worker has to poll at once after [event], or null. */
    private fun orderedTask(event: Event): TaskId? = when (event) {
        is Event.TaskPlaced -> event.taskId
        is Event.TaskStopRequested -> event.taskId
        else -> null
    }

    private fun pollNow(taskId: TaskId, before: CellState) {
        val placement = state.tasks[taskId]?.placement ?: before.tasks[taskId]?.placement
        workers[placement?.workerId]?.nextPollMs = nowMs
    }
}
