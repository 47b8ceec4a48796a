package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.PlacedTask
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.counted
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.rack
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.push")

/** Decides which waiting steps get which workers. */
internal class StepPlacement(private val context: LeaderContext) {
    private val ready = HashMap<String, List<ReadyStep>>()
    private val notBeforeMs = HashMap<String, Long>()

    /** The workers that steps count on while a call to the adviser is under way. */
    private val plans = HashMap<StepId, Collection<String>>()
    val waits = StepWaits()

    /** Carries out what was placed; set once, as orders and placements need each other. */
    lateinit var orders: RunOrders

    val waitingSteps: Int get() = ready.values.sumOf { it.size }

    fun pauseJob(jobId: String, untilMs: Long) {
        notBeforeMs[jobId] = untilMs
    }

    /** Looks again at which steps of the job may start. */
    fun refresh(state: StagedState, jobId: String) {
        val job = state.active[jobId]
        val steps = job?.let(::readySteps).orEmpty()
        if (job == null || job.outcome != null) {
            context.desk.forget(jobId)
            notBeforeMs.remove(jobId)
        }
        if (steps.isEmpty()) ready.remove(jobId) else ready[jobId] = steps
        waits.waiting(jobId, steps.map { it.id }, context.nowMs())
    }

    /** Places what waits, the most urgent first, and asks for advice where it is missing. */
    fun place(pass: Pass) {
        val nowMs = pass.nowMs
        val waiting = ready.values.flatten()
            .filter { (notBeforeMs[it.id.jobId] ?: 0) <= nowMs }
            .sortedBy { it.rank(nowMs) }
        val hosts = context.around.callingHosts()
        context.desk.beginPass(hosts, nowMs)
        val reserved = Reserved()
        waiting.forEach { step ->
            plans[step.id]?.let { reserved.add(it, step.spec.counted) }
        }
        val usable = context.links.values.filter {
            it.isUsable(nowMs)
        }.groupBy { it.worker.service }
        for (step in waiting) {
            place(pass, step, usable[step.job.terms.service].orEmpty(), reserved)
        }
        context.desk.dispatch(hosts, nowMs)
        plans.keys.retainAll(context.desk::isUnderWay)
        if (waits.isDue(nowMs)) {
            ready.values.flatten().forEach { findPaused(it, nowMs) }
            waits.report(nowMs) { context.desk.facts(it, nowMs) }
            context.around.meters.waiting(waits.byReason)
        }
    }

    private fun findPaused(step: ReadyStep, nowMs: Long) {
        val pausedForMs = (notBeforeMs[step.id.jobId] ?: 0) - nowMs
        if (pausedForMs <= 0) return
        passOver(step, nowMs) { copy(pausedForMs = pausedForMs) }
    }

    /** Keeps for the log why no workers were looked for. */
    private inline fun passOver(step: ReadyStep, nowMs: Long, why: WaitFacts.() -> WaitFacts) {
        if (waits.isDue(nowMs)) waits.found(step.id, step.facts().why()) { 0 }
    }

    private fun ReadyStep.facts() = WaitFacts(
        waiting = waiting.size,
        tasks = step.tasks.size,
        gang = spec.gang,
        advice = job.terms.advice?.let { AdviceFacts() }
    )

    private fun place(pass: Pass, step: ReadyStep, usable: List<WorkerLink>, reserved: Reserved) {
        // The room that the call under way is about stays reserved until its answer.
        if (context.desk.isUnderWay(step.id)) {
            return passOver(step, pass.nowMs) { copy(usable = usable.size, isCalling = true) }
        }
        plans.remove(step.id)?.let { reserved.remove(it, step.spec.counted) }
        val nowMs = pass.nowMs
        val terms = step.job.terms.advice
        // Nothing can come of the step in this pass, and a backlog has hundreds of such steps.
        if (terms != null &&
            !context.desk.hasOpenCall(terms) &&
            !context.desk.holdsTickets(step.id, nowMs + TICKET_MARGIN_MS)
        ) {
            return passOver(step, nowMs) { copy(usable = usable.size, isQueued = true) }
        }
        val allowed = usable.filter { terms == null || context.desk.allows(step.id, it.candidate) }
        val rooms = allowed.map { it.room(step, reserved, nowMs) }
        val tasks = step.waiting.map { WaitingTask(it, step.step.tasks[it].failedOn) }
        val chosen = chooseNow(step.spec, tasks, rooms)
        val ticketed = rooms.filter { it.ticketed }.mapTo(HashSet()) { it.workerId }
        val placed = chosen.filterValues { it in ticketed }
        explain(step, Choice(tasks, rooms, chosen, chosen - placed.keys), usable.size, nowMs)
        if (placed.size == chosen.size || !step.spec.gang) {
            if (placed.isNotEmpty()) commitPlacement(pass, step, placed)
            if (placed.size == tasks.size) return
        }
        val intended = if (step.spec.gang) {
            chosen.ifEmpty { fillWorkers(step.spec, tasks, rooms) }
        } else {
            chosen - placed.keys
        }
        val missing = tasks.size - chosen.size
        val isUrgent = step.latestStartMs - nowMs < RESERVE_BEFORE_MS
        val keepsRoom = chosen.isNotEmpty() || isUrgent
        if (keepsRoom) reserved.add(intended.values, step.spec.counted)
        if (terms == null) return
        wantAdvice(step, terms, usable, reserved, intended, missing, nowMs)
        if (keepsRoom && intended.isNotEmpty()) plans[step.id] = intended.values.toList()
    }

    /** Keeps what the log tells about a step that goes on waiting. */
    private fun explain(step: ReadyStep, choice: Choice, usable: Int, nowMs: Long) {
        val chosen = choice.chosen.values.toSet()
        val missing = choice.unticketed.values.toSet()
        context.desk.askedInAnswerAt(step.id, nowMs)?.let { asked ->
            val ids = asked.mapTo(HashSet()) { it.workerId }
            val before = waits.chosenBeforeCall(step.id)
            waits.answerUsed(step.id, answerUse(before, ids, chosen, missing))
        }
        waits.chosenBeforeCall(step.id, chosen)
        if (!waits.isDue(nowMs)) return
        val placed = if (step.spec.gang) 0 else choice.chosen.size - choice.unticketed.size
        val facts = step.facts().copy(
            waiting = step.waiting.size - placed,
            usable = usable,
            allowed = choice.rooms.size,
            chosen = chosen.size,
            missing = missing.size
        )
        waits.found(step.id, facts) {
            fillWorkers(step.spec, choice.tasks, choice.rooms).size - placed
        }
    }

    /** A gang starts at once if the workers with tickets suffice. */
    private fun chooseNow(
        spec: StepSpec,
        tasks: List<WaitingTask>,
        rooms: List<WorkerRoom>
    ): Map<Int, String> {
        val atOnce = if (spec.gang) {
            chooseWorkers(spec, tasks, rooms.filter { it.ticketed })
        } else {
            emptyMap()
        }
        return atOnce.ifEmpty { chooseWorkers(spec, tasks, rooms) }
    }

    /**
     * Asks for tickets of the [intended] workers, and about others for the tasks that are
     * [missing] a worker. All tickets of a gang are renewed together, so that none lapses while
     * others are asked for.
     */
    private fun wantAdvice(
        step: ReadyStep,
        terms: AdviceTerms,
        usable: List<WorkerLink>,
        reserved: Reserved,
        intended: Map<Int, String>,
        missing: Int,
        nowMs: Long
    ) {
        val unasked = if (missing == 0) {
            emptyList()
        } else {
            val rooms = usable.filter { !context.desk.wasAsked(step.id, it.candidate) }
                .map { it.room(step, reserved, nowMs) }
            chooseAsked(
                step.spec,
                missing,
                rooms,
                context.desk.allowedShare(terms),
                isLong = isLongCall(terms),
                seed = step.id.hashCode()
            )
        }
        if (missing > 0 && unasked.isEmpty() && step.spec.gang) return
        val renewed = intended.values.distinct()
        val asked = (renewed + unasked.map { it.workerId })
            .map { context.links.getValue(it).candidate }
        if (asked.isEmpty()) return
        context.desk.want(step.id, terms, asked, step.rank(nowMs), nowMs)
    }

    private fun hasTicket(step: ReadyStep, workerId: String, nowMs: Long): Boolean {
        if (step.job.terms.advice == null) return true
        val boot = context.links.getValue(workerId).worker.boot
        return context.desk.ticket(step.id, workerId, boot, nowMs + TICKET_MARGIN_MS) != null
    }

    private val WorkerLink.candidate: Candidate get() = Candidate(worker.workerId, worker.boot)

    private fun WorkerLink.room(step: ReadyStep, reserved: Reserved, nowMs: Long) = WorkerRoom(
        workerId = worker.workerId,
        rack = worker.rack,
        labels = worker.labels,
        free = free - reserved.of(worker.workerId),
        suspect = suspectUntilMs > nowMs,
        ofStep = if (step.spec.maxPerWorker > 0) countOf(step.id) else 0,
        ticketed = hasTicket(step, worker.workerId, nowMs)
    )

    private fun commitPlacement(pass: Pass, step: ReadyStep, chosen: Map<Int, String>) {
        val job = step.job
        val run = step.step.tasks.maxOf { it.lastRun } + 1
        val placed = chosen.map { (index, workerId) ->
            PlacedTask(index, workerId, context.links.getValue(workerId).worker.boot)
        }
        if (job.startedAtMs == null) {
            context.around.meters.started(step.spec, pass.nowMs - job.acceptedAtMs)
        }
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
                    step.spec.counted,
                    StartState.Unsent,
                    resumed = step.step.tasks[index].checkpoint.isNotEmpty()
                )
            )
            val ticket = context.desk.ticket(step.id, workerId, link.worker.boot, pass.nowMs)
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
        val call = context.desk.answered(hostId, callId, result, pass.nowMs)
            ?: return context.around.meters.advisedLate()
        val end = if (result is AdviceResult.Given) AdviceEnd.GIVEN else AdviceEnd.FAILED
        context.around.meters.advised(end, pass.nowMs - call.sentAtMs)
        context.decisions.line(pass.nowMs, call.stepId.jobId) {
            val given = (result as? AdviceResult.Given)?.tickets?.size ?: 0
            val tookMs = pass.nowMs - call.sentAtMs
            "advice for step ${call.stepId.step}: $given of ${call.asked.size} workers, $tookMs ms"
        }
    }

    private companion object {
        const val TICKET_MARGIN_MS = 150L

        /** A gang without room reserves what it can get this long before it would be late. */
        const val RESERVE_BEFORE_MS = 4_000L
    }
}

/** The choice of workers for a step in one pass. */
private class Choice(
    val tasks: List<WaitingTask>,
    val rooms: List<WorkerRoom>,
    val chosen: Map<Int, String>,
    val unticketed: Map<Int, String>
)

/** Room that steps of higher rank keep for themselves within one pass. */
private class Reserved {
    private val byWorker = HashMap<String, Resources>()

    fun of(workerId: String): Resources = byWorker[workerId] ?: Resources()

    fun add(workerIds: Collection<String>, each: Resources) = workerIds.forEach {
        byWorker[it] = of(it) + each
    }

    fun remove(workerIds: Collection<String>, each: Resources) = workerIds.forEach {
        byWorker[it] = of(it) - each
    }
}
