package dev.jackdawdale.host

import dev.jackdawdale.control.CommittedBatch
import dev.jackdawdale.control.ControlObserver
import dev.jackdawdale.estimates.runTimeKey
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Task
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.label
import dev.jackdawdale.model.plus
import dev.jackdawdale.routing.SizeClass
import dev.jackdawdale.routing.sizeOf
import dev.jackdawdale.telemetry.CellMeters
import dev.jackdawdale.telemetry.Dimension
import dev.jackdawdale.telemetry.ReplicaMeters
import dev.jackdawdale.telemetry.WorkClass
import dev.jackdawdale.timeline.EventKind
import dev.jackdawdale.timeline.Timeline
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.host")
private const val PACKING_INTERVAL_MS = 1_000L

/** Creates the observer that updates the timeline, metrics and log of a control process. */
internal fun controlObserver(
    timeline: Timeline,
    meters: CellMeters,
    replicaMeters: ReplicaMeters
): ControlObserver {
    val metrics = CommittedMetrics(meters)
    return ControlObserver(
        committed = { committed ->
            if (committed.soft != null) {
                committed.batch.events.forEach { timeline.record(it, committed.before) }
                metrics.record(committed)
            }
        },
        refused = { refusal ->
            meters.recordRefusal(refusal.label)
            timeline.record(EventKind.WORK_REFUSED, refusal.label, details = "$refusal")
        },
        passFinished = { nanos -> meters.recordDecision("pass", nanos) },
        roleChanged = { leading, term ->
            val kind = if (leading) EventKind.LEADER_ELECTED else EventKind.LEADERSHIP_LOST
            timeline.record(kind, "leader", details = "term $term")
            log.info(if (leading) "leads in term {}" else "no longer leads, term {}", term)
        },
        quorumLost = replicaMeters::setQuorumLost,
        toleratedLosses = replicaMeters::setToleratedLosses
    )
}

/** Updates the metrics of the cell from committed events. */
private class CommittedMetrics(private val meters: CellMeters) {
    private var lastPackingMs = 0L

    fun record(committed: CommittedBatch) {
        committed.batch.events.forEach { recordEvent(it, committed) }
        if (committed.batch.atMs - lastPackingMs < PACKING_INTERVAL_MS) return
        lastPackingMs = committed.batch.atMs
        recordPacking(committed.after)
    }

    private fun recordEvent(event: Event, committed: CommittedBatch) {
        when (event) {
            is Event.RequestPlaced -> requestPlaced(event, committed)
            is Event.RequestEnded -> requestEnded(event, committed)
            is Event.TaskPlaced -> taskPlaced(event, committed)
            else -> Unit
        }
    }

    private fun requestPlaced(event: Event.RequestPlaced, committed: CommittedBatch) {
        val work = committed.after.requests[event.workId] ?: return
        val size = committed.soft?.routing?.sizeOf(work.spec.runTimeKey)
        val workClass =
            if (size == SizeClass.LONG) WorkClass.LONG_REQUEST else WorkClass.SHORT_REQUEST
        val waitMs = committed.batch.atMs - work.acceptedAtMs
        meters.recordWait(workClass, waitMs)
    }

    private fun requestEnded(event: Event.RequestEnded, committed: CommittedBatch) {
        val placement = committed.before.requests[event.workId]?.placement ?: return
        val useful = event.outcome == Outcome.Succeeded
        meters.recordRun(committed.batch.atMs - placement.placedAtMs, useful)
    }

    private fun taskPlaced(event: Event.TaskPlaced, committed: CommittedBatch) {
        val task = committed.before.tasks[event.taskId] ?: return
        meters.recordWait(
            workClass(committed.before, task),
            committed.batch.atMs - task.waitingSinceMs
        )
    }

    private fun workClass(state: CellState, task: Task): WorkClass {
        val spec = state.jobs[task.workId]?.spec
        if (spec?.urgency == Urgency.URGENT) return WorkClass.URGENT_TASK
        return when (spec?.kind) {
            JobKind.SERVICE -> WorkClass.SERVICE
            JobKind.GANG -> WorkClass.GANG
            JobKind.BATCH, null -> WorkClass.BATCH
        }
    }

    private fun recordPacking(state: CellState) {
        val busy = state.workers.values.filter { it.taskIds.isNotEmpty() }
        val allocated = busy.fold(Resources()) { sum, worker -> sum + worker.allocated }
        val capacity = busy.fold(Resources()) { sum, worker -> sum + worker.info.capacity }
        meters.recordPacking(Dimension.CPU, allocated.cpuMillis, capacity.cpuMillis)
        meters.recordPacking(Dimension.MEMORY, allocated.memoryMib, capacity.memoryMib)
        meters.recordPacking(Dimension.ACCELERATORS, allocated.accelerators, capacity.accelerators)
    }
}

/** Records [event] in the timeline; [before] is the state that the event was applied to. */
private fun Timeline.record(event: Event, before: CellState) = when (event) {
    is Event.RequestAccepted ->
        record(EventKind.WORK_ACCEPTED, "${event.spec.workId}", "${event.spec.customerId}")

    is Event.RequestPlaced -> record(
        EventKind.WORK_PLACED,
        "${event.workId}",
        "${event.endpointId}",
        "${event.entryHostId}",
        details = "token ${event.token}"
    )

    is Event.RequestNotSent ->
        record(EventKind.WORK_RETRIED, "${event.workId}", details = "token ${event.token} not sent")

    is Event.RequestRetried ->
        record(EventKind.WORK_RETRIED, "${event.workId}", details = event.reason)

    is Event.RequestEntryHostChanged ->
        record(EventKind.SESSION_OPENED, "${event.workId}", "${event.entryHostId}")

    is Event.RequestEnded ->
        record(EventKind.WORK_ENDED, "${event.workId}", details = event.outcome.label)

    is Event.JobAccepted ->
        record(EventKind.WORK_ACCEPTED, "${event.spec.workId}", "${event.spec.customerId}")

    is Event.JobEnded ->
        record(EventKind.WORK_ENDED, "${event.workId}", details = event.outcome.label)

    is Event.TaskPlaced -> record(
        EventKind.TASK_PLACED,
        "${event.taskId}",
        "${event.workerId}",
        details = "token ${event.token}"
    )

    is Event.TaskStarted -> record(EventKind.TASK_STARTED, "${event.taskId}")

    is Event.TaskStopRequested ->
        record(EventKind.OPERATOR_ACTION, "${event.taskId}", details = "stop: ${event.reason}")

    is Event.TaskAllocationChanged -> Unit

    is Event.TaskEnded ->
        record(EventKind.TASK_ENDED, "${event.taskId}", details = "${event.result}")

    is Event.TaskLost -> record(EventKind.TASK_ENDED, "${event.taskId}", details = event.reason)

    is Event.CancelRequested ->
        record(EventKind.OPERATOR_ACTION, "${event.workId}", details = "cancel")

    is Event.ContractChanged -> record(
        EventKind.CONTRACT_CHANGED,
        "${event.contract.customerId}",
        "${event.changeId}",
        details = "version ${event.contract.version}"
    )

    is Event.EndpointJoined -> record(EventKind.MEMBER_JOINED, "${event.info.endpointId}")

    is Event.EndpointPhaseChanged -> record(
        if (event.phase == EndpointPhase.GONE) EventKind.MEMBER_LOST else EventKind.MEMBER_LEFT,
        "${event.endpointId}",
        details = "${before.endpoints[event.endpointId]?.phase} to ${event.phase}"
    )

    is Event.AbandonedSlotsFreed -> Unit

    is Event.Staged -> Unit

    is Event.WorkerJoined -> record(EventKind.MEMBER_JOINED, "${event.info.workerId}")

    is Event.WorkerPhaseChanged ->
        record(EventKind.MEMBER_LEFT, "${event.workerId}", details = "${event.phase}")

    is Event.EntryHostJoined -> record(EventKind.MEMBER_JOINED, "${event.host.hostId}")

    is Event.EntryHostLeft -> record(EventKind.MEMBER_LOST, "${event.hostId}")

    is Event.DedupWindowMoved -> Unit
}
