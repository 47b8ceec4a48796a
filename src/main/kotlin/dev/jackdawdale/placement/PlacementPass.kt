package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobWork
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.times

/**
 * One pass over the waiting work. It applies its own events to a private copy of the state, so
 * that each decision sees the ones before it.
 */
internal class PlacementPass(
    private var state: CellState,
    private var placement: PlacementState,
    private val nowMs: Long,
    private val limit: Int
) {
    val events = mutableListOf<Event>()

    private val exhausted = mutableMapOf<QueueKey, MutableSet<SizeClass>>()
    private val closed = mutableSetOf<QueueKey>()
    private val failures = FailedDemands()

    fun reservations(): Reservations = placement.reservations

    fun run() {
        placeProbes()
        while (events.size < limit) {
            val head = nextHead() ?: break
            if (!tryPlace(head)) {
                exhausted.getOrPut(head.key) { mutableSetOf() } += head.sizeClass
            }
        }
    }

    /** The job that comes next by guaranteed share, urgency and weighted share. */
    private fun nextHead(): Head? {
        var best: Head? = null
        for (key in placement.waiting.queues.keys) {
            if (key in closed) continue
            val contract = state.contracts[key.customerId]
            val head = if (contract == null) null else headOf(key, contract)
            if (head == null) {
                closed += key
            } else if (best == null || head < best) {
                best = head
            }
        }
        return best
    }

    private fun headOf(key: QueueKey, contract: Contract): Head? {
        val use = use(key.customerId)
        if (use.tasks >= contract.maxRunningTasks) return null
        val skipped = exhausted[key] ?: emptySet()
        var oldest: WaitingJob? = null
        var oldestClass: SizeClass? = null
        var looked = 0
        for ((sizeClass, members) in placement.waiting.queues[key].orEmpty()) {
            if (looked >= placement.settings.maxSizeClasses) break
            if (sizeClass in skipped) continue
            looked++
            val job = placement.waiting.jobs.getValue(members.first())
            if (oldest == null || job.sinceMs < oldest.sinceMs) {
                oldest = job
                oldestClass = sizeClass
            }
        }
        if (oldest == null || oldestClass == null) return null
        val guaranteed = use.withinGuarantee(contract, oldest.spec.perTask)
        val share = dominantShare(use.held, placement.workers.total) / contract.weight
        return Head(key, oldestClass, oldest.spec.workId, contract, guaranteed, share)
    }

    private fun use(customerId: CustomerId) = placement.use[customerId] ?: CustomerUse()

    private fun tryPlace(head: Head): Boolean {
        val job = state.jobs.getValue(head.workId)
        val demand = demand(state, placement, job, nowMs)
        return if (job.spec.kind == JobKind.GANG) {
            tryGang(head, demand)
        } else {
            trySingle(head, demand)
        }
    }

    private fun trySingle(head: Head, demand: Demand): Boolean {
        if (!use(head.key.customerId).allows(head.contract, demand.need, 1)) return false
        val waiting = placement.waiting.jobs.getValue(head.workId)
        val taskId = waiting.tasks.first()
        val worker = if (failures.covers(demand)) null else search(demand)
        if (worker != null) {
            emitPlacement(taskId, worker, demand.need)
            return true
        }
        if (preempt(head, demand, waiting)) return true
        val waitedMs = nowMs - waiting.sinceMs
        if (waitedMs >= placement.settings.reserveAfterMs) reserve(demand, 1)
        return false
    }

    private fun search(demand: Demand): Worker? {
        val worker = chooseWorker(state, placement, demand)
        if (worker == null) failures.add(demand)
        return worker
    }

    /** Stops other work for the first task that nothing was stopped for yet. */
    private fun preempt(head: Head, demand: Demand, waiting: WaitingJob): Boolean {
        if (!mayPreempt(demand, head.guaranteed)) return false
        val taskId = waiting.tasks.firstOrNull { it !in placement.reservations.byTask }
        if (taskId == null) return false
        val victims = chooseVictims(state, placement, demand) ?: return false
        victims.stops().forEach(::emit)
        val amounts = mapOf(victims.worker.info.workerId to demand.need)
        val reservation = Reservation(head.workId, taskId, amounts, nowMs, forPreemption = true)
        placement = placement.copy(reservations = placement.reservations.add(reservation))
        return true
    }

    private fun tryGang(head: Head, demand: Demand): Boolean {
        val waiting = placement.waiting.jobs.getValue(head.workId)
        val count = demand.job.spec.taskCount - demand.job.succeededTasks
        if (waiting.tasks.size < count) return false
        val total = demand.need * count
        if (!use(head.key.customerId).allows(head.contract, total, count)) return false
        val workers = chooseGangWorkers(state, placement, demand, count)
        if (workers == null) {
            reserve(demand, count)
            return false
        }
        for ((taskId, worker) in waiting.tasks.toList().zip(workers)) {
            emitPlacement(taskId, worker, demand.need)
        }
        return true
    }

    private fun reserve(demand: Demand, count: Int) {
        val reservations = placement.reservations
        val key = gangKey(demand.job.spec.workId)
        if (key in reservations.byTask) return
        if (reservations.byTask.size >= placement.settings.maxReservations) return
        val reservation = reserve(state, placement, demand, count, nowMs) ?: return
        placement = placement.copy(reservations = reservations.add(reservation))
    }

    private fun placeProbes() {
        val due = placement.probes.filterValues { it.taskId == null && nowMs >= it.nextAtMs }
        for (worker in due.keys.mapNotNull { state.workers[it] }) {
            val (taskId, job) = probeTask(worker) ?: continue
            emitPlacement(taskId, worker, job.spec.perTask)
        }
    }

    /** A waiting task, not of a gang, that fits on [worker] and never failed anywhere. */
    private fun probeTask(worker: Worker): Pair<TaskId, JobWork>? {
        for ((key, classes) in placement.waiting.queues) {
            val contract = state.contracts[key.customerId] ?: continue
            val heads = classes.values.map { placement.waiting.jobs.getValue(it.first()) }
            val fitting = heads.firstOrNull { waiting ->
                isProbe(state.jobs.getValue(waiting.spec.workId), worker) &&
                    use(key.customerId).allows(contract, waiting.spec.perTask, 1)
            }
            if (fitting != null) {
                return fitting.tasks.first() to state.jobs.getValue(fitting.spec.workId)
            }
        }
        return null
    }

    private fun isProbe(job: JobWork, worker: Worker): Boolean = job.spec.kind == JobKind.BATCH &&
        job.failedWorkers.isEmpty() &&
        job.spec.perTask.fitsInto(placement.available(worker, Demand(job)))

    private fun emitPlacement(taskId: TaskId, worker: Worker, counted: Resources) {
        check(state.tasks.getValue(taskId).phase == TaskPhase.WAITING)
        val info = worker.info
        emit(
            Event.TaskPlaced(taskId, info.workerId, info.incarnation, state.nextToken, counted)
        )
    }

    private fun emit(event: Event) {
        val before = state
        state = before.apply(event, nowMs)
        placement = placement.observe(event, before, state, nowMs)
        events += event
    }
}

/** The next job of one queue; the smallest comes first. */
internal data class Head(
    val key: QueueKey,
    val sizeClass: SizeClass,
    val workId: WorkId,
    val contract: Contract,
    val guaranteed: Boolean,
    val share: Double
) : Comparable<Head> {
    override fun compareTo(other: Head): Int =
        compareValuesBy(this, other, { !it.guaranteed }, { it.key.urgency }, { it.share })
}
