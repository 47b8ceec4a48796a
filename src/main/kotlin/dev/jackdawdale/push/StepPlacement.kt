package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.PlacedTask
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.reservedPerTask
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/** Places waiting steps on workers. */
internal class StepPlacement(
    private val context: LeaderContext,
    private val orders: RunOrders,
    private val pauses: JobPauses,
    private val ledger: CustomerLedger,
    private val report: CustomerReport,
    order: StepOrder
) {
    private val ranking = StepRanking(context, ledger, order)
    private val ready = HashMap<String, List<ReadyStep>>()
    private val reservations = StepReservations(context)
    private val requests = AdviceRequests(context, reservations)
    private val idle = IdleSteps()
    val waits = StepWaits()

    val waitingSteps: Int get() = ready.values.sumOf { it.size }

    /** The steps that wait and are not held back, in no order. */
    fun waiting(nowMs: Long): List<ReadyStep> =
        ready.values.flatten().mapNotNull { context.failing.limit(it, nowMs) }
            .map { withIdleTime(it, nowMs) }

    private fun withIdleTime(step: ReadyStep, nowMs: Long): ReadyStep =
        step.copy(idleMs = idle.idleMs(step, nowMs))

    /** Updates which steps of the job may start. */
    fun refresh(state: StagedState, jobId: String) {
        val job = state.active[jobId]
        val steps = job?.let(::readySteps).orEmpty()
        if (job == null || job.outcome != null) {
            context.advice.forget(jobId)
            pauses.forget(jobId)
            context.failing.forget(jobId)
        }
        if (steps.isEmpty()) ready.remove(jobId) else ready[jobId] = steps
        idle.refresh(jobId, job, steps.isNotEmpty(), context.nowMs())
        waits.waiting(jobId, steps.map { it.id }, context.nowMs())
    }

    /** Places waiting steps, the most urgent first, and requests missing advice. */
    fun place(pass: Pass) {
        val nowMs = pass.nowMs
        val usable = context.links.values.filter {
            it.isUsable(nowMs)
        }.groupBy { it.worker.service }
        idle.beginPass(usable, nowMs)
        val ceilings = CeilingCheck(ledger, pass.state.staged.contracts)
        val waiting = ranking.ranked(
            waiting(nowMs).filter { pauses.leftMs(it.id.jobId, nowMs) <= 0 },
            pass.state.staged.contracts,
            ceilings,
            nowMs
        )
        val hosts = context.dependencies.adviceHosts()
        context.advice.beginPass(hosts, nowMs)
        context.places.beginPass(nowMs)
        favorOverdueGangs(waiting, ceilings, nowMs)
        val gateOpen = ranking.isGateOpen(nowMs)
        val (eligible, heldBack) = waiting.map { it.step }.partition { step ->
            (gateOpen || !step.job.beyondRate || step.endsHolds) &&
                ceilings.tasksAllowed(step) > 0
        }
        heldBack.forEach { reservations.drop(it.id) }
        val reserved = reservations.beginPass(eligible, usable, nowMs)
        val round = PlacementRound(pass, reserved, ceilings, gateOpen)
        for (ranked in waiting) {
            place(round, ranked, usable[ranked.step.job.terms.service].orEmpty())
        }
        ranking.lacked = round.othersLack
        context.advice.dispatch(hosts, nowMs)
        reservations.endPass()
        if (waits.isDue(nowMs)) {
            ready.values.flatten().forEach { recordHeld(withIdleTime(it, nowMs), nowMs) }
            waits.report(nowMs) { context.advice.facts(it, nowMs) }
            context.dependencies.meters.setWaitingSteps(waits.byReason)
            val staged = pass.state.staged
            report.update(staged.contracts, waits.byCustomer, context.totalCapacity(), nowMs)
            context.dependencies.meters.setHeldSteps(context.failing.heldSteps)
            val waitsForRoom = WaitReason.NO_ROOM in waits.byReason
            context.drain.sampled(hosts.size, context.links.values, waitsForRoom, nowMs)
        }
    }

    /**
     * Keeps room below a customer's ceiling for its gang that is overdue the longest: the small
     * steps of the customer would take each part of the ceiling that becomes free.
     */
    private fun favorOverdueGangs(waiting: List<RankedStep>, ceilings: CeilingCheck, nowMs: Long) {
        waiting.map { it.step }
            .filter { it.spec.gang && nowMs - it.latestStartMs in FAVORED_OVERDUE_MS }
            .filter { it.customerId != null && ceilings.tasksAllowed(it) == 0 }
            .sortedBy { it.latestStartMs }
            .distinctBy { it.customerId }
            .forEach(ceilings::favor)
    }

    /** Records for the log the steps that are not even considered in this pass. */
    private fun recordHeld(step: ReadyStep, nowMs: Long) {
        val pausedForMs = pauses.leftMs(step.id.jobId, nowMs)
        val isFailing = context.failing.limit(step, nowMs) == null
        if (pausedForMs <= 0 && !isFailing) return
        recordSkipped(step, nowMs) { copy(pausedForMs = pausedForMs, isFailing = isFailing) }
    }

    /** Records for the log why no workers were chosen for a step. */
    private inline fun recordSkipped(
        step: ReadyStep,
        nowMs: Long,
        change: WaitFacts.() -> WaitFacts
    ) {
        if (waits.isDue(nowMs)) waits.record(step.id, step.facts().change()) { 0 }
    }

    private fun ReadyStep.facts() = WaitFacts(
        waiting = waiting.size,
        tasks = step.tasks.size,
        gang = spec.gang,
        advice = job.terms.advice?.let { AdviceFacts() },
        customerId = customerId,
        idleMs = idleMs
    )

    private fun place(round: PlacementRound, ranked: RankedStep, usable: List<WorkerLink>) {
        val step = ranked.step
        val nowMs = round.nowMs
        if (isHeldBack(round, step, usable.size)) return
        reservations.takeBack(step, round.reserved)
        val tasksAllowed = round.ceilings.tasksAllowed(step)
        val terms = step.job.terms.advice
        val allowed = usable.filter {
            terms == null || context.advice.allows(step.id, it.candidate)
        }
        val workers = allowed.map { context.available(it, step, round.reserved, nowMs) }
        val tasks = step.waiting.take(tasksAllowed)
            .map { WaitingTask(it, step.step.tasks[it].failedOn) }
        val place = context.places.keepWaiting(
            step,
            workers,
            chooseNow(step.spec, tasks, workers),
            capacity = { allowed.map { it.whenEmpty(step) } },
            nowMs
        )
        val chosen = place.chosen
        val ticketed = workers.filter { it.ticketed }.mapTo(HashSet()) { it.workerId }
        val placed = chosen.filterValues { it in ticketed }
        val choice = Choice(tasks, workers, chosen, chosen - placed.keys, place)
        recordWait(round, step, choice, usable.size)
        val starts = placed.size == chosen.size || !step.spec.gang
        if (starts && placed.isNotEmpty()) {
            commitPlacement(round.pass, step, placed)
            round.used(step)
        }
        if (starts && placed.size == tasks.size) return
        if (step.spec.gang && place.waiting > 0) {
            // Keeps the free part of the rack for the gang until the rest is free.
            val near = fillWorkers(step.spec, tasks, workers.filter { it.rack == place.rack })
            return round.reserved.add(near.values, step.spec.reservedPerTask)
        }
        if (chosen.size < tasks.size && step.isUsefulAt(nowMs)) round.othersLack = true
        val started = if (starts) placed else emptyMap()
        val asks = requests.request(round, ranked, usable, choice, started) {
            fillWorkers(step.spec, tasks, workers)
        }
        if (asks) round.used(step)
        // A step that finds no workers claims nothing: it would hold back its customer for ever.
        val isPlanned = chosen.isNotEmpty() || asks || reservations.planOf(step.id) != null
        if (isPlanned) round.ceilings.claim(step, tasks.size - started.size)
    }

    /**
     * Whether no workers are chosen for the step in this pass. A step that the ceiling of its
     * customer holds back has no workers reserved.
     */
    private fun isHeldBack(round: PlacementRound, step: ReadyStep, usable: Int): Boolean {
        val nowMs = round.nowMs
        val tasksAllowed = round.ceilings.tasksAllowed(step)
        // The planned workers stay reserved until the call in flight is answered.
        if (tasksAllowed > 0 && context.advice.isCallInFlight(step.id)) {
            round.ceilings.claim(step, tasksAllowed)
            recordSkipped(step, nowMs) { copy(usable = usable, isCalling = true) }
            return true
        }
        val terms = step.job.terms.advice
        // Saves work: the step can't be placed in this pass, and a backlog has hundreds of these.
        val isQueued = terms != null &&
            (!context.advice.canStartCall(terms) || !requests.mayCall(step, terms, nowMs)) &&
            !context.advice.hasTickets(step.id, nowMs + TICKET_MARGIN_MS)
        if (isQueued && step.isUsefulAt(nowMs)) round.othersLack = true
        val waitsForOthers = tasksAllowed > 0 &&
            !isQueued &&
            step.job.beyondRate &&
            !step.endsHolds &&
            !ranking.mayUseSpare(round)
        when {
            tasksAllowed == 0 -> recordSkipped(step, nowMs) {
                copy(usable = usable, ceiling = round.ceilings.facts(step))
            }
            waitsForOthers -> recordSkipped(step, nowMs) {
                copy(usable = usable, isBeyondRate = true)
            }
            isQueued -> recordSkipped(step, nowMs) { copy(usable = usable, isQueued = true) }
        }
        return tasksAllowed == 0 || waitsForOthers || isQueued
    }

    /** Records for the log why a step keeps waiting. */
    private fun recordWait(round: PlacementRound, step: ReadyStep, choice: Choice, usable: Int) {
        val nowMs = round.nowMs
        val chosen = choice.chosen.values.toSet()
        val missing = choice.unticketed.values.toSet()
        context.advice.askedInAnswerAt(step.id, nowMs)?.let { asked ->
            val ids = asked.mapTo(HashSet()) { it.workerId }
            val before = waits.chosenBeforeCall(step.id)
            waits.recordAnswer(step.id, answerCoverage(before, ids, chosen, missing))
        }
        waits.chosenBeforeCall(step.id, chosen)
        if (!waits.isDue(nowMs)) return
        val placed = if (step.spec.gang) 0 else choice.chosen.size - choice.unticketed.size
        val facts = step.facts().copy(
            waiting = step.waiting.size - placed,
            usable = usable,
            allowed = choice.workers.size,
            chosen = chosen.size,
            missing = missing.size,
            ceiling = round.ceilings.facts(step).takeIf {
                choice.tasks.size < step.waiting.size && choice.placesAll
            },
            waitingForPlace = choice.place.waiting,
            keptMillis = choice.workers.sumOf { worker ->
                val free = context.links[worker.workerId]?.free?.cpuMillis ?: 0
                free - worker.free.cpuMillis
            }
        )
        waits.record(step.id, facts) {
            fillWorkers(step.spec, choice.tasks, choice.workers).size - placed
        }
    }

    private fun commitPlacement(pass: Pass, step: ReadyStep, chosen: Map<Int, String>) {
        val job = step.job
        val run = step.step.tasks.maxOf { it.lastRun } + 1
        val placed = chosen.map { (index, workerId) ->
            PlacedTask(index, workerId, context.links.getValue(workerId).worker.boot)
        }
        if (job.startedAtMs == null) {
            context.dependencies.meters.recordFirstPlacement(
                step.spec,
                pass.nowMs - job.acceptedAtMs
            )
        }
        job.terms.advice?.takeIf { chosen.size == step.waiting.size }
            ?.let { context.drain.stepPlaced(it, context.advice.callsMade(step.id)) }
        context.emit(pass, StagedEvent.TasksPlaced(step.id, run, context.term, placed))
        context.decisions.line(pass.nowMs, job.spec.jobId) {
            val leftMs = step.latestStartMs - pass.nowMs
            "places step ${step.id.step} run $run term ${context.term} on $chosen, " +
                "$leftMs ms before it would be late"
        }
        for ((index, workerId) in chosen) {
            val link = context.links.getValue(workerId)
            val taskId = StageTaskId(step.id, index)
            val placement = RunPlacement(workerId, link.worker.boot, run, context.term, pass.nowMs)
            link.hold(
                HeldRun(
                    taskId,
                    placement,
                    step.spec.reservedPerTask,
                    StartState.Unsent,
                    resumed = step.step.tasks[index].checkpoint.isNotEmpty(),
                    estimatedMs = step.spec.estimatedMs
                )
            )
            val ticket = context.advice.ticket(step.id, workerId, link.worker.boot, pass.nowMs)
            val order = StartDraft(
                job.spec.payload,
                step.step.tasks[index].checkpoint,
                ticket?.text.orEmpty()
            )
            pass.whenDurable { orders.sendStart(link, taskId, run, order) }
        }
    }

    fun adviceAnswered(pass: Pass, hostId: HostId, callId: Long, result: AdviceResult) {
        if (result !is AdviceResult.Given) {
            log.warn("advice call {} at {}: {}", callId, hostId, result)
        }
        val call = context.advice.answered(hostId, callId, result, pass.nowMs)
            ?: return context.dependencies.meters.recordLateAdvice()
        context.drain.callEnded(call.terms, call.sentAtMs, pass.nowMs)
        val end = if (result is AdviceResult.Given) AdviceEnd.GIVEN else AdviceEnd.FAILED
        context.dependencies.meters.recordAdvice(end, pass.nowMs - call.sentAtMs)
        context.decisions.line(pass.nowMs, call.stepId.jobId) {
            val given = (result as? AdviceResult.Given)?.tickets?.size ?: 0
            val tookMs = pass.nowMs - call.sentAtMs
            "advice for step ${call.stepId.step}: $given of ${call.asked.size} workers, $tookMs ms"
        }
    }

    private companion object {
        /**
         * How overdue a gang is while room is kept for it below its customer's ceiling. Bounded, as
         * its workers may lack room for it all the while.
         */
        val FAVORED_OVERDUE_MS = 5_000L..15_000L
    }
}
