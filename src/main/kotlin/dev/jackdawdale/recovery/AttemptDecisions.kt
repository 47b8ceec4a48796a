package dev.jackdawdale.recovery

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestPlacement
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.apply
import kotlin.random.Random

/**
 * Decides the events after the [result] of the attempt [token]; none when the attempt is no longer
 * the current one of its request.
 */
internal fun decideAttempt(
    state: CellState,
    recovery: AttemptRecoveryState,
    workId: WorkId,
    token: FencingToken,
    result: AttemptResult,
    nowMs: Long
): List<Event> {
    val work = state.requests[workId] ?: return emptyList()
    val placement = work.placement ?: return emptyList()
    if (placement.token != token) return emptyList()
    val event = when (result) {
        is AttemptResult.Answered -> answered(recovery, work, placement, result.answer, nowMs)
        is AttemptResult.NotSent -> notSent(work, placement)
        is AttemptResult.Broken -> broken(recovery, work, placement, result.reason, nowMs)
    }
    return listOf(event)
}

/**
 * Decides the events after entry host [hostId] opens a session in which it reports the attempts
 * [held]. An attempt placed on the same incarnation that it does not hold was never delivered and
 * never will be. Attempts placed on an older incarnation may have been sent.
 */
internal fun decideSession(
    state: CellState,
    recovery: AttemptRecoveryState,
    hostId: HostId,
    incarnation: Long,
    held: List<HeldAttempt>,
    nowMs: Long
): List<Event> {
    val heldTokens = held.mapTo(HashSet()) { it.token }
    return decideEach(state, recovery, hostId, nowMs) { current, work, placement ->
        when {
            placement.entryIncarnation < incarnation ->
                broken(current, work, placement, "entry host $hostId restarted", nowMs)
                    .notCausedByEndpoint()
            placement.entryIncarnation > incarnation -> null
            placement.token in heldTokens -> null
            else -> notSent(work, placement).notCausedByEndpoint()
        }
    }
}

/** Decides the events after the session of entry host [hostId] has timed out. */
internal fun decideEntryHostLost(
    state: CellState,
    recovery: AttemptRecoveryState,
    hostId: HostId,
    incarnation: Long,
    nowMs: Long
): List<Event> = decideEach(state, recovery, hostId, nowMs) { current, work, placement ->
    if (placement.entryIncarnation > incarnation) {
        null
    } else {
        broken(current, work, placement, "entry host $hostId was lost", nowMs).notCausedByEndpoint()
    }
}

/** Decides all attempts placed at [hostId] in order of token; retries share the retry budget. */
private fun decideEach(
    state: CellState,
    recovery: AttemptRecoveryState,
    hostId: HostId,
    nowMs: Long,
    decide: (AttemptRecoveryState, RequestWork, RequestPlacement) -> Event?
): List<Event> {
    val placed = recovery.placedByEntryHost[hostId].orEmpty()
        .mapNotNull { state.requests[it] }
        .filter { it.placement?.entryHostId == hostId }
        .sortedBy { it.placement?.token }
    val events = mutableListOf<Event>()
    var current = recovery
    for (work in placed) {
        val event = work.placement?.let { decide(current, work, it) } ?: continue
        events += event
        current = current.observe(event, state, state.apply(event, nowMs), nowMs)
    }
    return events
}

/** Marks the failure as not caused by the endpoint, which gets further work as before. */
private fun Event.notCausedByEndpoint(): Event = when (this) {
    is Event.RequestNotSent -> copy(endpointFailed = false)
    is Event.RequestRetried -> copy(endpointFailed = false)
    else -> this
}

private const val HTTP_SERVER_ERROR = 500
private const val HTTP_UNAVAILABLE = 503

private fun answered(
    recovery: AttemptRecoveryState,
    work: RequestWork,
    placement: RequestPlacement,
    answer: Answer,
    nowMs: Long
): Event {
    val workId = work.spec.workId
    if (answer.status < HTTP_SERVER_ERROR) {
        return Event.RequestEnded(workId, Outcome.Succeeded, answer)
    }
    val reason = "endpoint answered ${answer.status}"
    val retry = if (answer.status == HTTP_UNAVAILABLE && !work.cancelRequested) {
        retryOrNull(recovery, work, placement, reason, nowMs)
    } else {
        null
    }
    return retry?.copy(mayStillRun = false)
        ?: Event.RequestEnded(workId, Outcome.Failed(reason), answer)
}

private fun notSent(work: RequestWork, placement: RequestPlacement): Event {
    val workId = work.spec.workId
    if (!work.cancelRequested) return Event.RequestNotSent(workId, placement.token)
    val earlierAttempts = work.attempts - 1
    return Event.RequestEnded(workId, Outcome.Cancelled(mayHaveRun = earlierAttempts > 0))
}

private fun broken(
    recovery: AttemptRecoveryState,
    work: RequestWork,
    placement: RequestPlacement,
    reason: String,
    nowMs: Long
): Event {
    val workId = work.spec.workId
    if (work.cancelRequested) {
        return Event.RequestEnded(workId, Outcome.Cancelled(mayHaveRun = true))
    }
    return retryOrNull(recovery, work, placement, reason, nowMs)
        ?: Event.RequestEnded(workId, Outcome.MayHaveRun(reason))
}

private fun retryOrNull(
    recovery: AttemptRecoveryState,
    work: RequestWork,
    placement: RequestPlacement,
    reason: String,
    nowMs: Long
): Event.RequestRetried? {
    val spec = work.spec
    val allowed = spec.idempotent &&
        work.attempts < recovery.settings.maxAttempts &&
        recovery.budgetOf(spec.customerId) >= ONE_RETRY
    if (!allowed) return null
    val notBeforeMs = nowMs + backoffMs(recovery.settings, work, placement)
    if (notBeforeMs >= spec.deadlineMs) return null
    return Event.RequestRetried(spec.workId, placement.token, notBeforeMs, reason)
}

private const val MAX_DOUBLINGS = 20

/** Exponential back-off; the upper half is jitter, seeded by the token of the attempt. */
private fun backoffMs(
    settings: AttemptRecoverySettings,
    work: RequestWork,
    placement: RequestPlacement
): Long {
    val doublings = (work.attempts - 1).coerceIn(0, MAX_DOUBLINGS)
    val full = minOf(settings.backoffBaseMs shl doublings, settings.backoffMaxMs)
    val half = maxOf(full / 2, 1)
    return half + Random(settings.seed xor placement.token.value).nextLong(half)
}
