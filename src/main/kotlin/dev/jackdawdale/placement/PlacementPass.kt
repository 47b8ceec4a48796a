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
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.times
import java.util.PriorityQueue
import kotlinx.collections.immutable.PersistentMap

/** Time after which a blocked queue is tried again although no capacity was freed. */
private const val BLOCKED_RETRY_MS = 1_000L

/** Smallest share of a worker for which a single task may get a reservation. */
private const val LARGE_TASK_SHARE = 0.5

/** Skipped jobs of one size class after which a pass skips the whole class. */
private const val MAX_SKIPPED_JOBS = 16

/** Each try looks at all workers, so a pass cannot afford one for each waiting gang. */
private const val MAX_RESERVATION_TRIES = 4

/**
 * One pass over the waiting work. It applies its events to its own copy of the state, so that each
 * decision takes the earlier ones into account.
 */
internal class PlacementPass(
    private var state: CellState,
    private var placement: PlacementState,
    private val nowMs: Long,
    private val limit: Int
) {
    val events = mutableListOf<Event>()

    private val skippedClasses = mutableMapOf<QueueKey, MutableSet<SizeClass>>()
    private val skippedJobs = mutableSetOf<WorkId>()
    private val heads = PriorityQueue<QueueHead>()
    private var blocked = placement.blocked
    private val failures = FailedDemands()
    private val failedPreemptions = FailedDemands()
    private var reservationTries = MAX_RESERVATION_TRIES

    fun reservations(): Reservations = placement.reservations

    fun blocked(): PersistentMap<QueueKey, BlockedQueue> = blocked

    fun run() {
        placeProbes()
        val roomCheck = RoomCheck(state, placement.workers)
        placement.waiting.queues.keys
            .filterNot { isBlocked(it, roomCheck) }
            .forEach(::addHeadOrBlock)
        while (events.size < limit) {
            val head = nextHead() ?: break
            if (!tryPlace(head)) skip(head)
            addHeadOrBlock(head.key)
        }
    }

    /** Skips the size class, or only the job when its failure says nothing about the others. */
    private fun skip(head: QueueHead) {
        val job = state.jobs.getValue(head.workId)
        val waitingTasks = placement.waiting.jobs[head.workId]?.tasks?.size ?: 0
        val incomplete = job.spec.kind == JobKind.GANG &&
            waitingTasks < job.spec.taskCount - job.succeededTasks
        if (incomplete || job.failedWorkers.isNotEmpty()) {
            skippedJobs += head.workId
        } else {
            skippedClasses.getOrPut(head.key) { mutableSetOf() } += head.sizeClass
        }
    }

    /** The next job by guaranteed share, urgency and weighted share. */
    private fun nextHead(): QueueHead? {
        while (true) {
            val head = heads.poll() ?: return null
            val contract = head.contract
            val current = headOf(head.key, contract)
            if (current == head) return head
            // Placements of this pass changed the customer's share or the queue.
            if (current == null) block(head.key) else heads.add(current)
        }
    }

    private fun addHeadOrBlock(key: QueueKey) {
        val head = state.contracts[key.customerId]?.let { headOf(key, it) }
        if (head == null) block(key) else heads.add(head)
    }

    private fun block(key: QueueKey) {
        val classes = placement.waiting.queues[key] ?: return
        val minNeed = minimumNeed(classes.keys)
        blocked =
            blocked.put(key, BlockedQueue(placement.freedCount, nowMs + BLOCKED_RETRY_MS, minNeed))
    }

    /** Urgent work is retried after any freed capacity, because it may preempt without room. */
    private fun isBlocked(key: QueueKey, roomCheck: RoomCheck): Boolean {
        val queue = blocked[key] ?: return false
        if (nowMs >= queue.untilMs) return false
        if (queue.freedCount == placement.freedCount) return true
        return key.urgency != Urgency.URGENT && !roomCheck.hasRoom(queue.minNeed)
    }

    private fun headOf(key: QueueKey, contract: Contract): QueueHead? {
        val use = use(key.customerId)
        if (use.tasks >= contract.maxRunningTasks) return null
        val skipped = skippedClasses[key] ?: emptySet()
        val candidates = placement.waiting.queues[key].orEmpty().asSequence()
            .filter { (sizeClass, _) -> sizeClass !in skipped }
            .take(placement.settings.maxSizeClasses)
            .mapNotNull { (_, members) -> firstOf(members) }
        val oldest = candidates.minByOrNull { it.sinceMs } ?: return null
        val guaranteed = use.withinGuarantee(contract, oldest.spec.perTask)
        val share = dominantShare(use.held, placement.workers.total) / contract.weight
        return QueueHead(
            key,
            oldest.spec.sizeClass(),
            oldest.spec.workId,
            contract,
            guaranteed,
            share
        )
    }

    private fun firstOf(members: Set<WorkId>): WaitingJob? = members.asSequence()
        .take(MAX_SKIPPED_JOBS)
        .firstOrNull { it !in skippedJobs }
        ?.let { placement.waiting.jobs[it] }

    private fun use(customerId: CustomerId) = placement.use[customerId] ?: CustomerUse()

    private fun tryPlace(head: QueueHead): Boolean {
        val job = state.jobs.getValue(head.workId)
        val demand = demand(state, placement, job, nowMs)
        return if (job.spec.kind == JobKind.GANG) {
            tryGang(head, demand)
        } else {
            trySingle(head, demand)
        }
    }

    private fun trySingle(head: QueueHead, demand: Demand): Boolean {
        if (!use(head.key.customerId).allows(head.contract, demand.need, 1)) return false
        val waiting = placement.waiting.jobs.getValue(head.workId)
        val taskId = waiting.tasks.first()
        val knownToFail = !hasReservation(head.workId, taskId) && failures.covers(demand)
        val worker = if (knownToFail) null else search(demand)
        if (worker != null) {
            emitPlacement(taskId, worker, demand.need)
            return true
        }
        if (preempt(head, demand, waiting)) return true
        val waitedMs = nowMs - waiting.sinceMs
        if (waitedMs >= placement.settings.reserveAfterMs && isLarge(demand)) reserve(demand, 1)
        return false
    }

    /** Small tasks find room when any task ends; reservations for them would delay gangs. */
    private fun isLarge(demand: Demand): Boolean {
        val largest = placement.workers.capacities.keys.maxByOrNull { it.cpuMillis } ?: return false
        val singles = placement.reservations.byTask.values.count { it.isSingle }
        return singles < placement.settings.maxReservations / 2 &&
            dominantShare(demand.need, largest) >= LARGE_TASK_SHARE
    }

    /** A job with a reservation may fit where a smaller job without one does not. */
    private fun hasReservation(workId: WorkId, taskId: TaskId): Boolean =
        taskId in placement.reservations.byTask ||
            reservationKey(workId) in placement.reservations.byTask

    private fun search(demand: Demand): Worker? {
        val worker = chooseWorker(state, placement, demand)
        if (worker == null) failures.add(demand)
        return worker
    }

    /** Preempts other work for the first waiting task without a reservation. */
    private fun preempt(head: QueueHead, demand: Demand, waiting: WaitingJob): Boolean {
        if (!mayPreempt(demand, head.guaranteed)) return false
        val taskId = waiting.tasks.firstOrNull { it !in placement.reservations.byTask }
        if (taskId == null) return false
        if (failedPreemptions.covers(demand)) return false
        val victims = chooseVictims(state, placement, demand)
        if (victims == null) {
            failedPreemptions.add(demand)
            return false
        }
        victims.stopEvents().forEach(::emit)
        val amounts = mapOf(victims.worker.info.workerId to demand.need)
        val reservation = Reservation(head.workId, taskId, amounts, nowMs, forPreemption = true)
        placement = placement.copy(reservations = placement.reservations.add(reservation))
        return true
    }

    private fun tryGang(head: QueueHead, demand: Demand): Boolean {
        val waiting = placement.waiting.jobs.getValue(head.workId)
        val count = demand.job.spec.taskCount - demand.job.succeededTasks
        if (waiting.tasks.size < count) return false
        val total = demand.need * count
        if (!use(head.key.customerId).allows(head.contract, total, count)) return false
        val key = reservationKey(head.workId)
        val knownToFail =
            key !in placement.reservations.byTask && failures.covers(demand, count)
        val workers =
            if (knownToFail) null else chooseGangWorkers(state, placement, demand, count)
        if (workers == null) {
            failures.add(demand, count)
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
        val key = reservationKey(demand.job.spec.workId)
        if (key in reservations.byTask || reservationTries <= 0) return
        if (reservations.byTask.size >= placement.settings.maxReservations) return
        reservationTries--
        val reservation = reserve(state, placement, demand, count, nowMs) ?: return
        reservationTries = 0
        val existing = reservations.byTask.values.filterNot { it.forPreemption }
        val reserved = (existing + reservation).fold(Resources()) { sum, one -> sum + one.total() }
        val share = dominantShare(reserved, placement.workers.total)
        if (existing.isNotEmpty() && share > placement.settings.maxReservedShare) return
        placement = placement.copy(reservations = reservations.add(reservation))
    }

    private fun placeProbes() {
        val due = placement.probes.filterValues { it.taskId == null && nowMs >= it.nextAtMs }
        for (worker in due.keys.mapNotNull { state.workers[it] }) {
            val (taskId, job) = probeTask(worker) ?: continue
            emitPlacement(taskId, worker, job.spec.perTask)
        }
    }

    /** A waiting batch task that fits on [worker], of a job that failed on no worker. */
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

/** The next job of one queue, in the order in which queues are served. */
internal data class QueueHead(
    val key: QueueKey,
    val sizeClass: SizeClass,
    val workId: WorkId,
    val contract: Contract,
    val guaranteed: Boolean,
    val share: Double
) : Comparable<QueueHead> {
    override fun compareTo(other: QueueHead): Int =
        compareValuesBy(this, other, { !it.guaranteed }, { it.key.urgency }, { it.share })
}
