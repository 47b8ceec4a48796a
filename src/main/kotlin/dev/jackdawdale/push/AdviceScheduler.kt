package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StepId

/** A start permission for one worker process, identified by [boot]; expires at [validUntilMs]. */
internal data class Ticket(val text: String, val boot: Long, val validUntilMs: Long)

/** A worker process that the adviser can be asked about. */
internal data class Candidate(val workerId: String, val boot: Long)

/**
 * A call to the adviser, made by one entry host.
 *
 * @property timeoutAtMs the call is given up when it has no answer by this time
 */
internal class AdviceCall(
    val callId: Long,
    val hostId: HostId,
    val stepId: StepId,
    val asked: List<Candidate>,
    val terms: AdviceTerms,
    val sentAtMs: Long,
    val timeoutAtMs: Long
)

/**
 * The advice about one step.
 *
 * @property asked workers that the adviser has answered about
 * @property allowed those of [asked] that the policy allows; its decision never changes
 * @property toAsk workers to ask about in the next calls
 */
private class StepAdvice(val terms: AdviceTerms, var rank: Double) {
    val asked = HashSet<Candidate>()
    val allowed = HashSet<Candidate>()
    val tickets = HashMap<String, Ticket>()
    var toAsk: List<Candidate> = emptyList()
    var callsInFlight = 0
    var calls = 0
    var lastAsked: List<Candidate> = emptyList()
    var answeredAtMs = Long.MIN_VALUE
}

/** Counts the workers asked about, and those that were allowed, for policies with equal terms. */
private class AllowedCount(var asked: Int = PRIOR_ASKED, var allowed: Int = PRIOR_ALLOWED)

/** Until the first answer, half of the workers are assumed to be allowed. */
private const val PRIOR_ASKED = 10
private const val PRIOR_ALLOWED = 5

/**
 * Schedules calls that ask the adviser which workers may run a step, and keeps the tickets. The
 * adviser handles one call at a time per calling host, so calls are spread over the hosts, the most
 * urgent first.
 *
 * Longer calls use only some of the hosts, so that shorter ones never wait for them: a call for the
 * widest steps takes longer than a short job may take. Used on the control thread only.
 *
 * @param firstCallId unique per leader, because answers may arrive after a leader change
 */
internal class AdviceScheduler(firstCallId: Long = 1, private val send: (AdviceCall) -> Boolean) {
    private val steps = HashMap<StepId, StepAdvice>()
    private val calls = HashMap<Long, AdviceCall>()
    private val busy = HashMap<HostId, AdviceCall>()
    private val counts = HashMap<AdviceTerms, AllowedCount>()

    private val delays = HostDelays()
    private var budget = CallBudget(0, emptyList())
    private var nextCallId = firstCallId

    val callsInFlight: Int get() = calls.size

    /** Number of calls that were answered or given up. */
    var callsDone = 0L
        private set

    /** Number of calls that were sent about the step. */
    fun callsMade(stepId: StepId): Int = steps[stepId]?.calls ?: 0

    /** True when an answer about the step has arrived. */
    fun isAnswered(stepId: StepId): Boolean = steps[stepId]?.asked?.isNotEmpty() ?: false

    fun isCallInFlight(stepId: StepId): Boolean = (steps[stepId]?.callsInFlight ?: 0) > 0

    /** The ticket for [workerId], or null when none is valid beyond [untilMs]. */
    fun ticket(stepId: StepId, workerId: String, boot: Long, untilMs: Long): Ticket? =
        steps[stepId]?.tickets?.get(workerId)
            ?.takeIf { it.boot == boot && it.validUntilMs > untilMs }

    /** Share of the hosts that had no call in flight when the pass began. */
    var freeShare = 1.0
        private set

    /** Drops the requests of earlier passes; calls in flight continue. */
    fun beginPass(hosts: Collection<HostId>, nowMs: Long) {
        steps.values.forEach { it.toAsk = emptyList() }
        expire(hosts, nowMs)
        freeShare = if (hosts.isEmpty()) 0.0 else 1.0 - busy.size.toDouble() / hosts.size
        budget = CallBudget(hosts.size, busy.values.map { callLength(it.terms) })
    }

    /**
     * Whether one more call with [terms] can start in this pass. Calls must be requested in the
     * order of rank.
     */
    fun canStartCall(terms: AdviceTerms): Boolean = budget.allows(callLength(terms))

    /** True when some worker has a ticket for the step that is valid beyond [untilMs]. */
    fun hasTickets(stepId: StepId, untilMs: Long): Boolean =
        steps[stepId]?.tickets?.values?.any { it.validUntilMs > untilMs } ?: false

    fun wasAsked(stepId: StepId, candidate: Candidate): Boolean =
        steps[stepId]?.asked?.contains(candidate) ?: false

    fun allows(stepId: StepId, candidate: Candidate): Boolean =
        steps[stepId]?.allowed?.contains(candidate) ?: false

    /** Share of the workers that policies with [terms] have allowed so far; more than 0. */
    fun allowedShare(terms: AdviceTerms): Double =
        counts[terms]?.let { it.allowed.toDouble() / it.asked }
            ?: (PRIOR_ALLOWED.toDouble() / PRIOR_ASKED)

    /** Removes a ticket that the worker refused. */
    fun dropTicket(stepId: StepId, workerId: String) {
        steps[stepId]?.tickets?.remove(workerId)
    }

    /** Drops the advice about the steps of an ended job. */
    fun forget(jobId: String) {
        steps.keys.removeIf { it.jobId == jobId }
    }

    /**
     * Requests tickets for [candidates] that are valid at the same time, for the next [dispatch].
     * Skips workers that the policy refuses, and those whose ticket outlasts the call and a start.
     *
     * @param rank the lowest goes first
     */
    fun request(
        stepId: StepId,
        terms: AdviceTerms,
        candidates: List<Candidate>,
        rank: Double,
        nowMs: Long
    ) {
        val step = steps.getOrPut(stepId) { StepAdvice(terms, rank) }
        step.rank = rank
        val callMs = adviceCallMs(terms, minOf(candidates.size, MAX_WORKERS_PER_CALL)).toLong()
        step.toAsk = candidates.filter { it !in step.asked || it in step.allowed }
            .filter { ticket(stepId, it.workerId, it.boot, nowMs + callMs + TRANSIT_MS) == null }
        if (step.toAsk.isEmpty()) return
        budget.take(callLength(terms))
    }

    /**
     * Sends the calls that are due, at most one per host. The workers of one step are split into
     * calls of equal size, so that their tickets expire at about the same time.
     */
    fun dispatch(hosts: Collection<HostId>, nowMs: Long) {
        expire(hosts, nowMs)
        if (hosts.all { it in busy }) return
        val due = steps.entries.filter { (_, step) ->
            step.toAsk.isNotEmpty() && step.callsInFlight == 0
        }.sortedBy { it.value.rank }
        val shortest = due.minOfOrNull { callLength(it.value.terms) } ?: return
        val ranked = delays.ranked(hosts, nowMs)
        val hasUsualHosts = ranked.any { !it.isSlow }
        val free = ranked.filterTo(ArrayList()) { it.hostId !in busy }
        val left = CallBudget(hosts.size, busy.values.map { callLength(it.terms) }, shortest)
        for ((stepId, step) in due) {
            val length = callLength(step.terms)
            for (asked in step.toAsk.splitIntoCalls()) {
                if (!left.allows(length)) break
                val hostId = takeHost(free, length, hasUsualHosts) ?: break
                left.take(length)
                start(hostId, stepId, step, asked, nowMs)
            }
        }
    }

    private fun start(
        hostId: HostId,
        stepId: StepId,
        step: StepAdvice,
        asked: List<Candidate>,
        nowMs: Long
    ) {
        val costMs = adviceCallMs(step.terms, asked.size)
        val call = AdviceCall(
            nextCallId++,
            hostId,
            stepId,
            asked,
            step.terms,
            nowMs,
            nowMs + (ANSWER_FACTOR * costMs).toLong() + ANSWER_SLACK_MS
        )
        if (!send(call)) return
        calls[call.callId] = call
        busy[hostId] = call
        step.callsInFlight++
        step.calls++
    }

    /** Records an answer and returns its call, or null when the call was given up before. */
    fun answered(hostId: HostId, callId: Long, result: AdviceResult, nowMs: Long): AdviceCall? {
        val call = calls[callId]?.takeIf { it.hostId == hostId } ?: return null
        calls.remove(callId)
        callsDone++
        if (busy[hostId] === call) busy.remove(hostId)
        if (result is AdviceResult.Given) {
            val expectedMs = adviceCallMs(call.terms, call.asked.size)
            delays.record(hostId, nowMs - call.sentAtMs, expectedMs, nowMs)
        } else {
            delays.recordFailure(hostId, nowMs)
        }
        val step = steps[call.stepId] ?: return call
        step.callsInFlight--
        if (result !is AdviceResult.Given) return call
        step.lastAsked = call.asked
        step.answeredAtMs = nowMs
        val count = counts.getOrPut(call.terms) { AllowedCount() }
        for (candidate in call.asked) {
            val ticket = result.tickets[candidate.workerId]
            if (step.asked.add(candidate)) {
                count.asked++
                if (ticket != null) count.allowed++
            }
            if (ticket == null) continue
            step.allowed += candidate
            // A ticket is valid from when it was given: at most MAX_ANSWER_DELAY_MS ago, and not
            // before the call was sent.
            val givenMs = nowMs - minOf(nowMs - call.sentAtMs, MAX_ANSWER_DELAY_MS)
            step.tickets[candidate.workerId] =
                Ticket(ticket, candidate.boot, givenMs + call.terms.validMs)
        }
        return call
    }

    /** The workers that the answer recorded at [nowMs] is about, or null without such an answer. */
    fun askedInAnswerAt(stepId: StepId, nowMs: Long): List<Candidate>? =
        steps[stepId]?.takeIf { it.answeredAtMs == nowMs }?.lastAsked

    /** Summary of the advice about the step, for the log. */
    fun facts(stepId: StepId, nowMs: Long): AdviceFacts {
        val step = steps[stepId] ?: return AdviceFacts()
        return AdviceFacts(
            asked = step.asked.size,
            ticketed = step.tickets.values.count { it.validUntilMs > nowMs },
            callInFlight = step.callsInFlight > 0,
            behind = if (step.toAsk.isEmpty()) {
                null
            } else {
                steps.values.count { it.isAheadOf(step) }
            },
            calls = step.calls
        )
    }

    /** Gives up calls that are overdue, and those of hosts that are gone. */
    private fun expire(hosts: Collection<HostId>, nowMs: Long) {
        val lost = calls.values.filter { nowMs > it.timeoutAtMs || it.hostId !in hosts }
        lost.forEach {
            calls.remove(it.callId)
            callsDone++
            if (busy[it.hostId] === it) busy.remove(it.hostId)
            delays.recordFailure(it.hostId, nowMs)
            steps[it.stepId]?.let { step -> step.callsInFlight-- }
        }
    }

    private companion object {
        const val ANSWER_FACTOR = 3.0
        const val ANSWER_SLACK_MS = 400L

        /** Transit time of a call through its host and back, plus the start order after it. */
        const val TRANSIT_MS = 400L
        const val MAX_ANSWER_DELAY_MS = 50L
    }
}

/** The adviser accepts no more. */
internal const val MAX_WORKERS_PER_CALL = 100

private fun List<Candidate>.splitIntoCalls(): List<List<Candidate>> {
    val calls = (size + MAX_WORKERS_PER_CALL - 1) / MAX_WORKERS_PER_CALL
    return chunked((size + calls - 1) / calls)
}

private fun StepAdvice.isAheadOf(other: StepAdvice): Boolean =
    toAsk.isNotEmpty() && callsInFlight == 0 && rank < other.rank

/** Whether a call about [WORKERS_PER_ADVICE_CALL] workers is long. */
internal fun isLongCall(terms: AdviceTerms): Boolean = callLength(terms) > CallLength.SHORT

/** Processing time of one call at the adviser, in milliseconds. */
internal fun adviceCallMs(terms: AdviceTerms, workers: Int): Double =
    terms.decisionMs + terms.perWorkerMs * workers
