package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StepId

/** A ticket for one worker; valid until [validUntilMs] for the process with [boot]. */
internal data class Ticket(val text: String, val boot: Long, val validUntilMs: Long)

/** A worker that can be asked about. */
internal data class Candidate(val workerId: String, val boot: Long)

/** A call to the adviser that one host carries out. */
internal class AdviceCall(
    val callId: Long,
    val hostId: HostId,
    val stepId: StepId,
    val asked: List<Candidate>,
    val terms: AdviceTerms,
    val sentAtMs: Long,
    val dueAtMs: Long
)

/**
 * What is known of one step.
 *
 * @property allowed workers that the policy allows, among [asked]; this never changes
 */
private class StepAdvice(val terms: AdviceTerms, var rank: Double) {
    val asked = HashSet<Candidate>()
    val allowed = HashSet<Candidate>()
    val tickets = HashMap<String, Ticket>()
    var wanted: List<Candidate> = emptyList()
    var inFlight = false
    var calls = 0
    var lastAsked: List<Candidate> = emptyList()
    var answeredAtMs = Long.MIN_VALUE
}

/**
 * Asks the adviser which workers may run a step, as one server with several doors: it handles one
 * call at a time for each calling host, so calls are spread over the hosts, the most urgent first,
 * and long calls leave some of the hosts to the short ones.
 *
 * Answers a load in which the widest steps keep one door busy for longer than a short job may take.
 * Used on the control thread only.
 */
internal class AdviceDesk(private val send: (AdviceCall) -> Boolean) {
    private val steps = HashMap<StepId, StepAdvice>()
    private val calls = HashMap<Long, AdviceCall>()
    private val busy = HashMap<HostId, AdviceCall>()
    private var nextCallId = 1L

    val callsUnderWay: Int get() = calls.size

    /** Calls that were answered or given up. */
    var callsDone = 0L
        private set

    /** True when the step has been asked about and the answer has come. */
    fun isAnswered(stepId: StepId): Boolean = steps[stepId]?.asked?.isNotEmpty() ?: false

    /** True while a call for the step is under way. */
    fun isCalling(stepId: StepId): Boolean = steps[stepId]?.inFlight ?: false

    /** The ticket for [workerId], or null when there is none that still serves at [untilMs]. */
    fun ticket(stepId: StepId, workerId: String, boot: Long, untilMs: Long): Ticket? =
        steps[stepId]?.tickets?.get(workerId)
            ?.takeIf { it.boot == boot && it.validUntilMs > untilMs }

    /** Forgets what earlier passes wanted; calls under way go on. */
    fun beginPass() = steps.values.forEach { it.wanted = emptyList() }

    fun wasAsked(stepId: StepId, candidate: Candidate): Boolean =
        steps[stepId]?.asked?.contains(candidate) ?: false

    fun allows(stepId: StepId, candidate: Candidate): Boolean =
        steps[stepId]?.allowed?.contains(candidate) ?: false

    /** A worker refused the ticket. */
    fun dropTicket(stepId: StepId, workerId: String) {
        steps[stepId]?.tickets?.remove(workerId)
    }

    /** Drops what is known of the steps of an ended job. */
    fun forget(jobId: String) {
        steps.keys.removeIf { it.jobId == jobId }
    }

    /**
     * Wants valid tickets of [candidates] for the step. Workers that the policy is known to refuse
     * are left out.
     *
     * @param rank the least goes first
     */
    fun want(
        stepId: StepId,
        terms: AdviceTerms,
        candidates: List<Candidate>,
        rank: Double,
        nowMs: Long
    ) {
        val step = steps.getOrPut(stepId) { StepAdvice(terms, rank) }
        step.rank = rank
        step.wanted = candidates.filter { it !in step.asked || it in step.allowed }
            .filter { ticket(stepId, it.workerId, it.boot, nowMs + RENEW_BEFORE_MS) == null }
            .take(MAX_WORKERS)
    }

    /** Sends the calls that are due, at most one to each of [hosts]. */
    fun dispatch(hosts: Collection<HostId>, nowMs: Long) {
        expire(nowMs)
        val free = hosts.filter { it !in busy }.toMutableList()
        if (free.isEmpty()) return
        val due = steps.entries.filter { it.value.wanted.isNotEmpty() && !it.value.inFlight }
            .sortedBy { it.value.rank }
        val shortIsDue = due.any { !it.value.isLong }
        val longHosts = if (shortIsDue) hosts.size / 2 else (hosts.size + 1) / 2
        var longRoom = longHosts - busy.values.count { it.isLong }
        for ((stepId, step) in due) {
            val isLong = step.isLong
            if (isLong && longRoom <= 0) continue
            val hostId = free.removeFirstOrNull() ?: return
            if (isLong) longRoom--
            start(hostId, stepId, step, nowMs)
        }
    }

    private fun start(hostId: HostId, stepId: StepId, step: StepAdvice, nowMs: Long) {
        val costMs = costMs(step.terms, step.wanted.size)
        val call = AdviceCall(
            nextCallId++,
            hostId,
            stepId,
            step.wanted,
            step.terms,
            nowMs,
            nowMs + (ANSWER_FACTOR * costMs).toLong() + ANSWER_SLACK_MS
        )
        if (!send(call)) return
        calls[call.callId] = call
        busy[hostId] = call
        step.inFlight = true
        step.calls++
    }

    /** Takes an answer and returns its call, or null for a call that was given up. */
    fun answered(hostId: HostId, callId: Long, result: AdviceResult, nowMs: Long): AdviceCall? {
        val call = calls.remove(callId) ?: return null
        callsDone++
        if (busy[hostId] === call) busy.remove(hostId)
        val step = steps[call.stepId] ?: return call
        step.inFlight = false
        if (result !is AdviceResult.Given) return call
        step.asked += call.asked
        step.lastAsked = call.asked
        step.answeredAtMs = nowMs
        step.wanted = emptyList()
        for (candidate in call.asked) {
            val ticket = result.tickets[candidate.workerId] ?: continue
            step.allowed += candidate
            // The ticket is as old as the answer's way, which ends no earlier than the call began.
            val givenMs = nowMs - minOf(nowMs - call.sentAtMs, MAX_ANSWER_DELAY_MS)
            step.tickets[candidate.workerId] =
                Ticket(ticket, candidate.boot, givenMs + call.terms.validMs)
        }
        return call
    }

    /** The workers of the answer that came at [nowMs], or null when none came then. */
    fun askedInAnswerAt(stepId: StepId, nowMs: Long): List<Candidate>? =
        steps[stepId]?.takeIf { it.answeredAtMs == nowMs }?.lastAsked

    /** What is known about the step, for the log. */
    fun facts(stepId: StepId, nowMs: Long): AdviceFacts {
        val step = steps[stepId] ?: return AdviceFacts()
        return AdviceFacts(
            asked = step.asked.size,
            ticketed = step.tickets.values.count { it.validUntilMs > nowMs },
            underWay = step.inFlight,
            behind = if (step.wanted.isEmpty()) {
                null
            } else {
                steps.values.count { it.goesBefore(step) }
            },
            calls = step.calls
        )
    }

    private fun expire(nowMs: Long) {
        val late = calls.values.filter { nowMs > it.dueAtMs }
        late.forEach {
            calls.remove(it.callId)
            callsDone++
            if (busy[it.hostId] === it) busy.remove(it.hostId)
            steps[it.stepId]?.inFlight = false
        }
    }

    private companion object {
        const val MAX_WORKERS = 100
        const val ANSWER_FACTOR = 3.0
        const val ANSWER_SLACK_MS = 400L
        const val RENEW_BEFORE_MS = 250L
        const val MAX_ANSWER_DELAY_MS = 50L
    }
}

private fun StepAdvice.goesBefore(other: StepAdvice): Boolean =
    wanted.isNotEmpty() && !inFlight && rank < other.rank

private val StepAdvice.isLong: Boolean get() = costMs(terms, wanted.size) > LONG_CALL_MS

private val AdviceCall.isLong: Boolean get() = costMs(terms, asked.size) > LONG_CALL_MS

/** A call that takes longer than this must leave hosts free for short calls. */
private const val LONG_CALL_MS = 150.0

/** How long the adviser takes for one call. */
internal fun costMs(terms: AdviceTerms, workers: Int): Double =
    terms.decisionMs + terms.perWorkerMs * workers
