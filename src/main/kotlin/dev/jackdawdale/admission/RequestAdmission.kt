package dev.jackdawdale.admission

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.WhenFull
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.isValidId

/** Decides whether a new request is accepted. After a refusal it is certain that nothing ran. */
internal fun decideRequest(
    state: CellState,
    admission: AdmissionState,
    spec: RequestSpec,
    entryHostId: HostId,
    nowMs: Long
): AdmissionDecision {
    val contract = state.contracts[spec.customerId]
        ?: return AdmissionDecision.Refused(Refusal.NoContract(spec.customerId))
    val refusal = requestProblem(spec, contract, nowMs)
        ?: rateProblem(admission, contract, nowMs)
        ?: fullProblem(admission, spec, contract)
    if (refusal != null) return AdmissionDecision.Refused(refusal)
    val accepted = Event.RequestAccepted(spec, contract.version, entryHostId)
    return when (val room = makeRoom(state, admission, spec, contract, nowMs)) {
        is Room.Free -> AdmissionDecision.Admitted(listOf(accepted))
        is Room.Shed -> AdmissionDecision.Admitted(listOf(room.event, accepted))
        is Room.None -> AdmissionDecision.Refused(room.refusal)
    }
}

private const val MAX_KIND_CHARS = 128

private fun requestProblem(spec: RequestSpec, contract: Contract, nowMs: Long): Refusal? {
    val longestMs = contract.maxDeadlineMs
    val declaredMs = spec.declaredRunTimeMs
    return when {
        !isValidId(spec.service.value) ->
            Refusal.Invalid("service", "must be 1 to 128 of A-Z a-z 0-9 . _ : @ -")
        spec.kind.length > MAX_KIND_CHARS ->
            Refusal.Invalid("kind", "must be at most $MAX_KIND_CHARS characters")
        declaredMs != null && declaredMs < 0 ->
            Refusal.Invalid("declared_ms", "must not be negative")
        spec.deadlineMs <= nowMs ->
            Refusal.Invalid("deadline_ms", "must be in the future")
        spec.deadlineMs - nowMs > longestMs ->
            Refusal.LimitReached("max_deadline_ms", longestMs, retryAfterMs = null)
        spec.urgency !in contract.urgencies ->
            Refusal.UrgencyNotAllowed(spec.urgency)
        contract.maxRunningRequests == 0 ->
            Refusal.LimitReached("max_running_requests", 0, retryAfterMs = null)
        else -> null
    }
}

private fun rateProblem(admission: AdmissionState, contract: Contract, nowMs: Long): Refusal? {
    val known = admission.buckets[contract.customerId] ?: fullBucket(contract, nowMs)
    val bucket = known.refilled(contract, nowMs)
    if (bucket.milliTokens >= MILLI_TOKENS_PER_REQUEST) return null
    return Refusal.LimitReached(
        limit = "request_rate_per_sec",
        allowed = contract.requestRatePerSec.toLong(),
        retryAfterMs = bucket.waitMs(contract)
    )
}

/**
 * Refuses work that must not wait unless its customer may run one more request, and a slot is free
 * that no waiting request needs.
 */
private fun fullProblem(
    admission: AdmissionState,
    spec: RequestSpec,
    contract: Contract
): Refusal? {
    if (contract.whenFull != WhenFull.REFUSE) return null
    val retryMs = admission.retryMs(spec.workId)
    val usage = admission.usageOf(spec.customerId)
    val allowed = contract.maxRunningRequests
    if (usage.runningRequests + usage.queuedRequests >= allowed) {
        return Refusal.LimitReached("max_running_requests", allowed.toLong(), retryMs)
    }
    val free = admission.freeSlots[spec.service] ?: 0
    if (free > admission.queueOf(spec.service).size) return null
    return Refusal.CellFull(retryMs)
}

private sealed interface Room {
    data object Free : Room

    data class Shed(val event: Event) : Room

    data class None(val refusal: Refusal) : Room
}

private fun makeRoom(
    state: CellState,
    admission: AdmissionState,
    spec: RequestSpec,
    contract: Contract,
    nowMs: Long
): Room {
    val queue = admission.queueOf(spec.service)
    val retryMs = admission.retryMs(spec.workId)
    val allowed = contract.maxQueuedRequests
    if (admission.usageOf(spec.customerId).queuedRequests >= allowed) {
        val own = queue.byCustomer[spec.customerId]?.longestOverdue(nowMs)
        val refusal = Refusal.LimitReached("max_queued_requests", allowed.toLong(), retryMs)
        return if (own == null) Room.None(refusal) else Room.Shed(state.shed(own, OVERDUE))
    }
    if (queue.size < admission.settings.maxQueuedPerService) return Room.Free
    val overdue = queue.all.longestOverdue(nowMs)
    if (overdue != null) return Room.Shed(state.shed(overdue, OVERDUE))
    val overShare = queue.furthestOverShare(spec, contract)
        ?: return Room.None(Refusal.CellFull(retryMs))
    return Room.Shed(state.shed(overShare, OVER_SHARE))
}

/** The request that missed its latest start first, or null when none did. */
private fun SortedTree<WaitingEntry>.longestOverdue(nowMs: Long): WaitingEntry? =
    firstOrNull()?.takeIf { it.latestStartMs < nowMs }

/**
 * The request with the most time left, of the customer with the most waiting requests by weight;
 * null when the customer of [spec] would then have at least as many.
 */
private fun ServiceQueue.furthestOverShare(spec: RequestSpec, contract: Contract): WaitingEntry? {
    val ownSize = (byCustomer[spec.customerId]?.size ?: 0) + 1
    val largest = shares.lastOrNull() ?: return null
    if (largest.perWeight <= ownSize.toDouble() / contract.weight) return null
    return byCustomer[largest.customerId]?.lastOrNull()
}

private const val OVERDUE = "shed from a full queue: its deadline could no longer be met"
private const val OVER_SHARE = "shed from a full queue: its customer was furthest over its share"

/** Ends a waiting request; only one without an attempt is known not to have run. */
private fun CellState.shed(entry: WaitingEntry, reason: String): Event {
    val attempts = requests[entry.workId]?.attempts ?: 0
    val outcome = if (attempts == 0) Outcome.NotRun(reason) else Outcome.MayHaveRun(reason)
    return Event.RequestEnded(entry.workId, outcome)
}

/** Retry delay, spread by the work id so that refused callers do not retry at the same time. */
internal fun AdmissionState.retryMs(workId: WorkId): Long {
    val base = settings.queueRetryMs
    return base + Math.floorMod(workId.value.hashCode().toLong(), maxOf(base, 1))
}
