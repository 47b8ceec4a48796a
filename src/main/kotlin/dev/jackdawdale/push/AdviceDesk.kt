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
 * @property callsUnderWay calls that have been sent and not answered
 */
private class StepAdvice(val terms: AdviceTerms, var rank: Double) {
    val asked = HashSet<Candidate>()
    val allowed = HashSet<Candidate>()
    val tickets = HashMap<String, Ticket>()
    var wanted: List<Candidate> = emptyList()
    var callsUnderWay = 0
    var calls = 0
    var lastAsked: List<Candidate> = emptyList()
    var answeredAtMs = Long.MIN_VALUE
}

/** How many of the workers that were asked about a policy allows. */
private class AllowedCount(var asked: Int = PRIOR_ASKED, var allowed: Int = PRIOR_ALLOWED)

/** Before the first answer, half of the workers are taken to be allowed. */
private const val PRIOR_ASKED = 10
private const val PRIOR_ALLOWED = 5

/**
 * Asks the adviser which workers may run a step. The adviser handles one call at a time for each
 * calling host, so calls are spread over the hosts, the most urgent first, and long calls leave
 * some of the hosts to the short ones.
 *
 * Answers a load in which a call for the widest steps takes longer than a short job may take. Used
 * on the control thread only.
 *
 * @param firstCallId differs for each leader, as an answer may come after the next one has begun
 */
internal class AdviceDesk(firstCallId: Long = 1, private val send: (AdviceCall) -> Boolean) {
    private val steps = HashMap<StepId, StepAdvice>()
    private val calls = HashMap<Long, AdviceCall>()
    private val busy = HashMap<HostId, AdviceCall>()
    private val counts = HashMap<AdviceTerms, AllowedCount>()

    /** When a host's call failed last; such hosts get calls after the others. */
    private val failedMs = HashMap<HostId, Long>()
    private var openShort = 0
    private var openLong = 0
    private var nextCallId = firstCallId

    val callsUnderWay: Int get() = calls.size

    /** Calls that were answered or given up. */
    var callsDone = 0L
        private set

    /** True when the step has been asked about and the answer has come. */
    fun isAnswered(stepId: StepId): Boolean = steps[stepId]?.asked?.isNotEmpty() ?: false

    /** True while a call about the step has no answer yet. */
    fun isUnderWay(stepId: StepId): Boolean = (steps[stepId]?.callsUnderWay ?: 0) > 0

    /** The ticket for [workerId], or null when there is none that still serves at [untilMs]. */
    fun ticket(stepId: StepId, workerId: String, boot: Long, untilMs: Long): Ticket? =
        steps[stepId]?.tickets?.get(workerId)
            ?.takeIf { it.boot == boot && it.validUntilMs > untilMs }

    /** Forgets what earlier passes wanted; calls under way go on. */
    fun beginPass(hosts: Collection<HostId>, nowMs: Long) {
        steps.values.forEach { it.wanted = emptyList() }
        expire(hosts, nowMs)
        openShort = hosts.count { it !in busy }
        openLong =
            minOf(openShort, (hosts.size + 1) / 2 - busy.values.count { isLongCall(it.terms) })
    }

    /** Whether one more call of this kind can begin in this pass, wanted in the order of rank. */
    fun hasOpenCall(terms: AdviceTerms): Boolean =
        if (isLongCall(terms)) openLong > 0 else openShort > 0

    /** True when some worker has a ticket for the step that still serves at [untilMs]. */
    fun holdsTickets(stepId: StepId, untilMs: Long): Boolean =
        steps[stepId]?.tickets?.values?.any { it.validUntilMs > untilMs } ?: false

    fun wasAsked(stepId: StepId, candidate: Candidate): Boolean =
        steps[stepId]?.asked?.contains(candidate) ?: false

    fun allows(stepId: StepId, candidate: Candidate): Boolean =
        steps[stepId]?.allowed?.contains(candidate) ?: false

    /** Share of the workers that policies with [terms] have allowed so far, more than 0. */
    fun allowedShare(terms: AdviceTerms): Double =
        counts[terms]?.let { it.allowed.toDouble() / it.asked }
            ?: (PRIOR_ALLOWED.toDouble() / PRIOR_ASKED)

    /** A worker refused the ticket. */
    fun dropTicket(stepId: StepId, workerId: String) {
        steps[stepId]?.tickets?.remove(workerId)
    }

    /** Drops what is known of the steps of an ended job. */
    fun forget(jobId: String) {
        steps.keys.removeIf { it.jobId == jobId }
    }

    /**
     * Wants tickets of [candidates] that are valid at the same time. Workers that the policy is
     * known to refuse are left out, and those whose ticket outlives the calls that this takes.
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
        val callMs = costMs(terms, minOf(candidates.size, MAX_WORKERS)).toLong()
        step.wanted = candidates.filter { it !in step.asked || it in step.allowed }
            .filter { ticket(stepId, it.workerId, it.boot, nowMs + callMs + WAY_MS) == null }
        if (step.wanted.isEmpty()) return
        if (isLongCall(terms)) openLong-- else openShort--
    }

    /**
     * Sends the calls that are due, at most one to each of [hosts]. The workers of one step are
     * split into calls of equal length, so that their tickets are of about the same age.
     */
    fun dispatch(hosts: Collection<HostId>, nowMs: Long) {
        expire(hosts, nowMs)
        val free = hosts.filter { it !in busy }
            .sortedBy { failedMs[it] ?: Long.MIN_VALUE }
            .toMutableList()
        if (free.isEmpty()) return
        val due = steps.entries.filter { (_, step) ->
            step.wanted.isNotEmpty() && step.callsUnderWay == 0
        }.sortedBy { it.value.rank }
        val shortIsDue = due.any { !isLongCall(it.value.terms) }
        val longHosts = if (shortIsDue) hosts.size / 2 else (hosts.size + 1) / 2
        var longRoom = longHosts - busy.values.count { isLongCall(it.terms) }
        for ((stepId, step) in due) {
            val isLong = isLongCall(step.terms)
            for (asked in step.wanted.inCalls()) {
                if (isLong && longRoom <= 0) break
                val hostId = free.removeFirstOrNull() ?: return
                if (isLong) longRoom--
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
        val costMs = costMs(step.terms, asked.size)
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
        step.callsUnderWay++
        step.calls++
    }

    /** Takes an answer and returns its call, or null for a call that was given up. */
    fun answered(hostId: HostId, callId: Long, result: AdviceResult, nowMs: Long): AdviceCall? {
        val call = calls[callId]?.takeIf { it.hostId == hostId } ?: return null
        calls.remove(callId)
        callsDone++
        if (busy[hostId] === call) busy.remove(hostId)
        if (result is AdviceResult.Given) failedMs.remove(hostId) else failedMs[hostId] = nowMs
        val step = steps[call.stepId] ?: return call
        step.callsUnderWay--
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
            underWay = step.callsUnderWay > 0,
            behind = if (step.wanted.isEmpty()) {
                null
            } else {
                steps.values.count { it.goesBefore(step) }
            },
            calls = step.calls
        )
    }

    /** Gives up calls that are overdue, and those of hosts that cannot answer any more. */
    private fun expire(hosts: Collection<HostId>, nowMs: Long) {
        val lost = calls.values.filter { nowMs > it.dueAtMs || it.hostId !in hosts }
        lost.forEach {
            calls.remove(it.callId)
            callsDone++
            if (busy[it.hostId] === it) busy.remove(it.hostId)
            failedMs[it.hostId] = nowMs
            steps[it.stepId]?.let { step -> step.callsUnderWay-- }
        }
    }

    private companion object {
        const val ANSWER_FACTOR = 3.0
        const val ANSWER_SLACK_MS = 400L

        /** Time for the way of a call through its host and back, and for the order after it. */
        const val WAY_MS = 400L
        const val MAX_ANSWER_DELAY_MS = 50L
    }
}

/** The adviser takes at most this many workers in a call. */
private const val MAX_WORKERS = 100

private fun List<Candidate>.inCalls(): List<List<Candidate>> {
    val calls = (size + MAX_WORKERS - 1) / MAX_WORKERS
    return chunked((size + calls - 1) / calls)
}

private fun StepAdvice.goesBefore(other: StepAdvice): Boolean =
    wanted.isNotEmpty() && callsUnderWay == 0 && rank < other.rank

/** A call that takes longer than this must leave hosts free for short calls. */
private const val LONG_CALL_MS = 150.0

/** Whether a call about a usual number of workers is long. */
internal fun isLongCall(terms: AdviceTerms): Boolean = costMs(terms, ADVISED_WORKERS) > LONG_CALL_MS

/** How long the adviser takes for one call. */
internal fun costMs(terms: AdviceTerms, workers: Int): Double =
    terms.decisionMs + terms.perWorkerMs * workers
