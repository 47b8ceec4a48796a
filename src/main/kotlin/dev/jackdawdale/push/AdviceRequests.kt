package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.rack
import dev.jackdawdale.staged.reservedPerTask

/** Tickets that expire sooner can't be relied on for a start. */
internal const val TICKET_MARGIN_MS = 150L

internal val WorkerLink.candidate: Candidate get() = Candidate(worker.workerId, worker.boot)

/** Until when a start of the step on the worker has a valid ticket; null without one. */
internal fun LeaderContext.ticketUntilMs(link: WorkerLink, step: ReadyStep): Long? =
    advice.ticket(step.id, link.worker.workerId, link.worker.boot, Long.MIN_VALUE)
        ?.let { it.validUntilMs - TICKET_MARGIN_MS }

internal fun LeaderContext.hasTicket(step: ReadyStep, link: WorkerLink, nowMs: Long): Boolean =
    step.job.terms.advice == null ||
        advice.ticket(
            step.id,
            link.worker.workerId,
            link.worker.boot,
            nowMs + TICKET_MARGIN_MS
        ) != null

/** The worker with the room that the step can use now. */
internal fun LeaderContext.available(
    link: WorkerLink,
    step: ReadyStep,
    reserved: Reservations,
    nowMs: Long
): AvailableWorker {
    val ticketed = hasTicket(step, link, nowMs)
    return link.whenEmpty(step).copy(
        free = link.free - reserved.of(link.worker.workerId, step.backfillUntilMs(nowMs)),
        suspect = link.suspectUntilMs > nowMs,
        ticketed = ticketed,
        speedGroup = link.speed.current.group,
        tooSlow = isTooSlow(link, step, nowMs, ticketed)
    )
}

/** The worker as if nothing but the step's own tasks ran there. */
internal fun WorkerLink.whenEmpty(step: ReadyStep) = AvailableWorker(
    worker.workerId,
    worker.rack,
    worker.labels,
    free = Resources(worker.cpuMillis, worker.memoryMib, worker.accelerators),
    ofStep = if (step.spec.maxPerWorker > 0) countOf(step.id) else 0
)

/**
 * Room that is reserved from then on can't be used by the step. Tasks that would be late after a
 * short wait use it all the same: they are small, and the gang has time. So does a step that goes
 * ahead of later starts.
 */
private fun ReadyStep.backfillUntilMs(nowMs: Long): Long {
    val leftMs = latestStartMs - nowMs
    val tookMs = (spec.estimatedMs * BACKFILL_FACTOR).toLong() + BACKFILL_SLACK_MS
    return when {
        goesAhead || !spec.gang && leftMs in 0 until URGENT_MS -> nowMs
        spec.estimatedMs > 0 -> nowMs + tookMs
        else -> Long.MAX_VALUE
    }
}

/** Less than the time in which room becomes free elsewhere on a full cell. */
private const val URGENT_MS = 1_000L

/** Declared times are off by half. */
private const val BACKFILL_FACTOR = 1.5

/** Start, report and commit of the end. */
private const val BACKFILL_SLACK_MS = 150L

/** Expected time of a call about [workers] workers until its tickets can be used. */
internal fun adviceMs(terms: AdviceTerms, workers: Int): Long =
    adviceCallMs(terms, workers).toLong() + CALL_TRANSIT_MS

/** Transit of a call through its host and back, and the pass that uses the answer. */
private const val CALL_TRANSIT_MS = 150L

/**
 * Requests tickets for waiting steps.
 *
 * Answers calls that keep all hosts busy: a gang asks once about enough workers, waits for its room
 * without tickets, and asks again when the room is there or will be when the answer arrives.
 */
internal class AdviceRequests(
    private val context: LeaderContext,
    private val reservations: StepReservations
) {
    /**
     * Requests what the step needs to start on the workers of [choice].
     *
     * @param placed tasks that start in this pass
     * @param partial chooses workers for as many tasks of a gang as fit
     * @return whether a call about the step was requested
     */
    fun request(
        round: PlacementRound,
        ranked: RankedStep,
        usable: List<WorkerLink>,
        choice: Choice,
        placed: Map<Int, String>,
        partial: () -> Map<Int, String>
    ): Boolean {
        val step = ranked.step
        val nowMs = round.nowMs
        val reserved = round.reserved
        val chosen = choice.chosen
        val terms = step.job.terms.advice
        val plans = reservations.plans(step)
        val isWaitingGang = step.spec.gang && chosen.isEmpty()
        val intended = intended(step, chosen - placed.keys, nowMs, partial)
        val isUrgent = step.latestStartMs - nowMs < RESERVE_BEFORE_MS
        val reserves = mayReserve(round, step) && (chosen.isNotEmpty() || plans || isUrgent)
        if (isWaitingGang && plans) {
            reservations.keep(step, reserved)
        } else if (reserves) {
            reserved.add(intended, step.spec.reservedPerTask)
        }
        if (terms == null || !mayCall(step, terms, nowMs)) return false
        val lacking = choice.tasks.size - chosen.size - choice.place.waiting
        val asksFurther = lacking > 0 && (!isWaitingGang || asksFurther(step, usable, nowMs))
        val unasked =
            if (asksFurther) workersToAsk(round, step, terms, usable, lacking) else emptyList()
        // All allowed workers are known and lack room for the gang: no call helps.
        if (isWaitingGang && !plans && unasked.isEmpty()) return false
        val asked = (intended.distinct() + unasked.map { it.workerId })
            .map { context.links.getValue(it).candidate }
        if (asked.isEmpty()) return false
        context.advice.request(step.id, terms, asked, ranked.rank, nowMs)
        round.callsRequested++
        if (reserves && intended.isNotEmpty()) {
            reservations.keepDuringCall(step.id, intended.toList(), isWhole = !isWaitingGang)
        }
        return true
    }

    /** The workers that the step is to use next, if it gets their tickets. */
    private fun intended(
        step: ReadyStep,
        chosen: Map<Int, String>,
        nowMs: Long,
        partial: () -> Map<Int, String>
    ): Collection<String> = when {
        !step.spec.gang || chosen.isNotEmpty() -> chosen.values
        reservations.plans(step) -> duePlan(step, step.job.terms.advice, nowMs)
        else -> partial().values
    }

    /** Others may use the room for which a step beyond the rate waits. */
    private fun mayReserve(round: PlacementRound, step: ReadyStep): Boolean =
        round.gateOpen || !step.job.beyondRate || step.endsHolds

    /**
     * Whether a call about the step may be made now. Long calls of steps that are too late to be
     * useful leave most hosts to the others; short ones cost too little to wait for that.
     */
    fun mayCall(step: ReadyStep, terms: AdviceTerms, nowMs: Long): Boolean =
        nowMs <= step.worthlessAfterMs ||
            step.goesAhead ||
            reservations.planOf(step.id) != null ||
            !reservations.isEnabled ||
            !isLongCall(terms) ||
            context.advice.freeShare > IDLE_SHARE

    /** The workers on which a gang has room once a call made now is answered, or none. */
    private fun duePlan(step: ReadyStep, terms: AdviceTerms?, nowMs: Long): Collection<String> {
        val plan = reservations.planOf(step.id)
        if (plan == null || terms == null) return emptyList()
        val answerMs = nowMs + adviceMs(terms, plan.workerIds.toSet().size)
        return if (plan.roomMs <= answerMs + ROOM_LEAD_MS) plan.workerIds else emptyList()
    }

    private fun asksFurther(step: ReadyStep, usable: List<WorkerLink>, nowMs: Long): Boolean =
        !reservations.plans(step) ||
            step.goesAhead ||
            !context.advice.isAnswered(step.id) ||
            asksFurther(
                reservations.planOf(step.id)?.startMs,
                step.latestStartMs,
                context.advice.freeShare,
                nowMs
            ) { placesOf(step, usable).toDouble() / step.waiting.size }

    /** Number of tasks of the step that the allowed workers could hold if nothing ran there. */
    private fun placesOf(step: ReadyStep, usable: List<WorkerLink>): Int = usable
        .filter { context.advice.allows(step.id, it.candidate) }
        .sumOf { it.whenEmpty(step).slots(step.spec).coerceAtMost(step.waiting.size) }

    private fun workersToAsk(
        round: PlacementRound,
        step: ReadyStep,
        terms: AdviceTerms,
        usable: List<WorkerLink>,
        tasks: Int
    ): List<AvailableWorker> {
        val nowMs = round.nowMs
        val reserved = round.reserved
        val unasked = usable.filter { !context.advice.wasAsked(step.id, it.candidate) }
        if (unasked.isEmpty()) return emptyList()
        val share = context.advice.allowedShare(terms)
        val seed = step.id.hashCode()
        if (!reservations.plans(step)) {
            val workers = unasked.map { context.available(it, step, reserved, nowMs) }
            return chooseWorkersToAsk(step.spec, tasks, workers, share, isLongCall(terms), seed)
        }
        val horizonMs = nowMs + adviceMs(terms, MAX_WORKERS_PER_CALL) + LOOK_AHEAD_MS
        val workers = unasked.map { link ->
            val soon = link.expectedEnds(nowMs).filter { it.atMs <= horizonMs }
            val worker = context.available(link, step, reserved, nowMs)
            worker.copy(free = soon.fold(worker.free) { free, end -> free + end.reserved })
        }
        return chooseWorkersForGang(step.spec, tasks, workers, share, seed)
    }

    private companion object {
        /** A gang without a plan reserves the room that it finds this long before it is late. */
        const val RESERVE_BEFORE_MS = 4_000L

        /** Tickets outlast the answer by this time and more, so room may come that much later. */
        const val ROOM_LEAD_MS = 500L

        /** Room that is free by then, after the first answer, counts for the choice of workers. */
        const val LOOK_AHEAD_MS = 1_000L

        /** Long calls of steps that are too late to be useful need more free hosts than this. */
        const val IDLE_SHARE = 0.2
    }
}

/**
 * Whether a gang that doesn't fit asks about workers that it has not asked about.
 *
 * Answers calls that keep all hosts busy: more allowed workers let a gang start sooner, but while
 * hardly a host is free, a first call of another step is worth more.
 *
 * @param plannedMs planned start, or null without a reservation
 * @param freeShare share of the hosts without a call
 * @param places computes how often the gang would fit on its allowed workers if nothing ran there
 */
internal fun asksFurther(
    plannedMs: Long?,
    latestStartMs: Long,
    freeShare: Double,
    nowMs: Long,
    places: () -> Double
): Boolean = when {
    plannedMs != null -> plannedMs > maxOf(latestStartMs, nowMs + FURTHER_AFTER_MS)
    freeShare > FREE_SHARE -> true
    else -> places() < MIN_PLACES
}

/** A later start is worth another call about further workers. */
private const val FURTHER_AFTER_MS = 2_000L

/** With more free hosts, calls of other steps don't have to wait. */
private const val FREE_SHARE = 0.05

/** Other steps hold at least half of the room of the allowed workers at peak load. */
private const val MIN_PLACES = 2.0

/**
 * Chooses the workers that the first call about a gang of [tasks] tasks asks about, those with the
 * most room first.
 *
 * The fixed part of a call costs as much as some 70 workers, so one wide call costs less than two.
 * A worker counts for one task at most, as other steps take some of its room before the answer.
 *
 * @param workers with the room that they will have soon
 */
internal fun chooseWorkersForGang(
    spec: StepSpec,
    tasks: Int,
    workers: List<AvailableWorker>,
    allowedShare: Double,
    seed: Int
): List<AvailableWorker> {
    val needed = tasks / allowedShare * GANG_ASK_MARGIN
    var expected = 0.0
    return workers.filter { it.hasLabelFor(spec) }
        .map { it to it.slots(spec) }
        .sortedWith(
            compareBy(
                { (worker, _) -> worker.suspect },
                { (worker, _) -> worker.tooSlow },
                { (_, slots) -> -slots },
                { (worker, _) -> worker.workerId.hashCode() xor seed }
            )
        )
        .takeWhile { (_, slots) ->
            (expected < needed).also { expected += if (slots > 0) 1.0 else FULL_WORKER }
        }
        .take(MAX_WORKERS_PER_CALL)
        .map { (worker, _) -> worker }
}

/** Asks about more than the expected need: shares vary, and other steps take some capacity. */
private const val GANG_ASK_MARGIN = 1.5

/** Expected places on a worker without room: it may have some by the time of the gang's start. */
private const val FULL_WORKER = 0.5
