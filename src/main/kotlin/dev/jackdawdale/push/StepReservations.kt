package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.reservedPerTask

/**
 * Limits on the room that is kept free for gangs that don't fit.
 *
 * @property gangs number of gangs with a reservation; 0 turns reservations off
 * @property share part of the processors of a service's workers that may be reserved
 */
internal data class ReservationLimits(val gangs: Int = 12, val share: Double = 0.3)

/**
 * Keeps room for steps: on the workers of a call in flight, and on those where a gang that doesn't
 * fit is expected to start.
 *
 * Answers a full cell with small tasks, which would take each place that becomes free before a wide
 * gang has all of its own. Used on the control thread only.
 */
internal class StepReservations(private val context: LeaderContext) {
    private val limits = context.settings.gangReservations

    /** Workers that are reserved for steps while their call to the adviser is in flight. */
    private val planned = HashMap<StepId, Collection<String>>()

    /** Those of [planned] that hold a part of their room and wait for the rest. */
    private val partial = HashSet<StepId>()
    private var plans: Map<StepId, GangPlan> = emptyMap()

    val isEnabled: Boolean get() = limits.gangs > 0

    /**
     * Whether the step waits for its room with a plan. Gangs with short calls ask about further
     * workers instead, as these calls are cheap and their jobs have no time to wait.
     */
    fun plans(step: ReadyStep): Boolean = isEnabled &&
        step.spec.gang &&
        (step.job.terms.advice?.let { isLongCall(it) } ?: true)

    fun planOf(stepId: StepId): GangPlan? = plans[stepId]

    /** Reserves room for the steps of this pass, which are in the order of service. */
    fun beginPass(
        waiting: List<ReadyStep>,
        usable: Map<String, List<WorkerLink>>,
        nowMs: Long
    ): Reservations {
        val reserved = Reservations()
        waiting.forEach { step ->
            planned[step.id]?.let { reserved.add(it, step.spec.reservedPerTask) }
        }
        val before = plans.keys
        plans = if (isEnabled) reserveGangs(waiting, usable, reserved, nowMs) else emptyMap()
        waiting.filter { it.id in plans && it.id !in before }.forEach { logBegin(it, nowMs) }
        return reserved
    }

    /** Drops the workers that are reserved during a call about the step. */
    fun drop(stepId: StepId) {
        planned.remove(stepId)
    }

    private fun logBegin(step: ReadyStep, nowMs: Long) {
        val plan = plans.getValue(step.id)
        context.decisions.line(nowMs, step.id.jobId) {
            "keeps room for step ${step.id.step}, ${step.waiting.size} tasks on " +
                "${plan.workerIds.toSet().size} workers, expected start in " +
                "${plan.startMs - nowMs} ms, ${step.latestStartMs - plan.startMs} ms before it " +
                "would be late, ${plans.size} gangs with room"
        }
    }

    /** Removes what is reserved for the step itself, as it is its turn. */
    fun takeBack(step: ReadyStep, reserved: Reservations) {
        val each = step.spec.reservedPerTask
        planned.remove(step.id)?.let { reserved.remove(it, each) }
        plans[step.id]?.let { reserved.remove(it.workerIds, each, it.startMs) }
    }

    /** Reserves the room of the step's plan again, as it doesn't fit yet. */
    fun keep(step: ReadyStep, reserved: Reservations) {
        val plan = plans[step.id] ?: return
        reserved.add(plan.workerIds, step.spec.reservedPerTask, plan.startMs)
    }

    /**
     * Reserves the workers until the call about the step is answered.
     *
     * @param isWhole whether all of them have room already
     */
    fun keepDuringCall(stepId: StepId, workerIds: Collection<String>, isWhole: Boolean) {
        planned[stepId] = workerIds
        if (isWhole) partial -= stepId else partial += stepId
    }

    /** Drops the reservations of calls that did not start. */
    fun endPass() {
        planned.keys.retainAll(context.advice::isCallInFlight)
        partial.retainAll(planned.keys)
    }

    private fun reserveGangs(
        waiting: List<ReadyStep>,
        usable: Map<String, List<WorkerLink>>,
        reserved: Reservations,
        nowMs: Long
    ): Map<StepId, GangPlan> {
        val candidates = waiting.filter { step ->
            plans(step) &&
                !context.advice.isCallInFlight(step.id) &&
                (step.job.terms.advice == null || context.advice.isAnswered(step.id))
        }
        if (candidates.isEmpty()) return emptyMap()
        val ends = HashMap<String, List<ExpectedEnd>>()
        val found = LinkedHashMap<StepId, GangPlan>()
        val leftMillis = usable.mapValuesTo(HashMap()) { (_, links) ->
            (links.sumOf { it.worker.cpuMillis } * limits.share).toLong()
        }
        var tries = MAX_PLANS
        fun reserve(step: ReadyStep, isUseful: (GangPlan) -> Boolean) {
            val each = step.spec.reservedPerTask
            val service = step.job.terms.service
            val needMillis = each.cpuMillis * step.waiting.size
            if (step.id in found || found.size >= limits.gangs || tries == 0) return
            // The first one may exceed the share: otherwise the widest gang might never start.
            if (found.isNotEmpty() && needMillis > (leftMillis[service] ?: 0)) return
            tries--
            // The room that was kept during its own call comes first: its tickets are for that.
            val own = planned[step.id].orEmpty()
            reserved.remove(own, each)
            val plan = plan(step, usable[service].orEmpty(), reserved, ends, nowMs)
            reserved.add(own, each)
            if (plan == null) return
            if (!isUseful(plan)) return
            found[step.id] = plan
            leftMillis.merge(service, -needMillis, Long::plus)
            reserved.add(plan.workerIds, each, plan.startMs)
        }
        val overdue = candidates.filter { it.isOverdue(nowMs) }.sortedBy { it.latestStartMs }
        val isKept = isRoomKept(waiting, nowMs)
        // One that its workers can't hold has no plan, and must not bar the others.
        for (step in overdue) {
            if (isKept || found.isNotEmpty()) break
            reserve(step) { true }
        }
        candidates.filter { it.latestStartMs - nowMs in 0 until RESERVE_BEFORE_MS }
            .forEach { step -> reserve(step) { it.startMs <= step.latestStartMs } }
        return found
    }

    /**
     * Whether an overdue gang keeps a part of its room during a call. A second one would keep what
     * the first one lacks, and neither would ever start.
     */
    private fun isRoomKept(waiting: List<ReadyStep>, nowMs: Long): Boolean = waiting.any {
        it.id in partial && it.isOverdue(nowMs) && context.advice.isCallInFlight(it.id)
    }

    private fun ReadyStep.isOverdue(nowMs: Long) = nowMs > latestStartMs + OVERDUE_MS

    private fun plan(
        step: ReadyStep,
        usable: List<WorkerLink>,
        reserved: Reservations,
        ends: HashMap<String, List<ExpectedEnd>>,
        nowMs: Long
    ): GangPlan? {
        val terms = step.job.terms.advice
        val allowed = usable.filter {
            terms == null || context.advice.allows(step.id, it.candidate)
        }
        val workers = allowed.map { link ->
            FutureWorker(
                context.available(link, step, reserved, nowMs),
                ends.getOrPut(link.worker.workerId) { link.expectedEnds(nowMs) },
                if (terms == null) Long.MAX_VALUE else context.ticketUntilMs(link, step)
            )
        }
        val ticketsMs = nowMs + (terms?.let { adviceMs(it, step.waiting.size) } ?: 0)
        return planGang(step.spec, step.waiting.size, workers, ticketsMs, nowMs)
    }

    private companion object {
        /** Bounds the cost of a pass with many gangs; each plan visits the runs of its workers. */
        const val MAX_PLANS = 24

        /**
         * Room is kept this long before the gang would be late, some run times of what holds the
         * room. Earlier reservations idle more room than the gangs gain.
         */
        const val RESERVE_BEFORE_MS = 4_000L

        /** A gang that has missed its objective by this time goes first, so that none starves. */
        const val OVERDUE_MS = 5_000L
    }
}

/**
 * Room reserved in one pass. Room of a gang that starts later may be used by runs that end before.
 */
internal class Reservations {
    private val byWorker = HashMap<String, OnWorker>()

    /** Reserved room on the worker that a run until [untilMs] can't use. */
    fun of(workerId: String, untilMs: Long): Resources {
        val found = byWorker[workerId] ?: return NONE
        return found.later.fold(found.now) { sum, (fromMs, each) ->
            if (fromMs < untilMs) sum + each else sum
        }
    }

    fun add(workerIds: Collection<String>, each: Resources, fromMs: Long = 0) = workerIds.forEach {
        val found = byWorker.getOrPut(it) { OnWorker() }
        if (fromMs == 0L) found.now += each else found.later += fromMs to each
    }

    fun remove(workerIds: Collection<String>, each: Resources, fromMs: Long = 0) =
        workerIds.forEach {
            val found = byWorker[it] ?: return@forEach
            if (fromMs == 0L) found.now -= each else found.later.remove(fromMs to each)
        }

    private class OnWorker {
        var now = NONE
        val later = ArrayList<Pair<Long, Resources>>()
    }

    private companion object {
        val NONE = Resources()
    }
}
