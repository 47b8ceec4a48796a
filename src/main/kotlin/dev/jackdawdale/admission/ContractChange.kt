package dev.jackdawdale.admission

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.isNonNegative
import dev.jackdawdale.model.isValidId

/**
 * Decides an operator's change of a contract. Of several changes with the same [expectedVersion],
 * the first one is applied; the others are refused with its id and the current version.
 */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun decideContractChange(
    state: CellState,
    changeId: ChangeId,
    expectedVersion: Long,
    contract: Contract,
    nowMs: Long
): ContractDecision {
    val customerId = contract.customerId
    val applied = state.changes[changeId]
    if (applied != null && applied.customerId == customerId) {
        return ContractDecision.AlreadyApplied(applied)
    }
    val problem = if (applied != null) {
        Refusal.Invalid("change_id", "was used at ${applied.atMs} for ${applied.customerId}")
    } else {
        problemOf(changeId, contract)
    }
    if (problem != null) return ContractDecision.Refused(problem)
    val currentVersion = state.contracts[customerId]?.version ?: 0
    if (expectedVersion != currentVersion) {
        val winner = state.lastChanges[customerId]
        val conflict = Refusal.VersionConflict(expectedVersion, currentVersion, winner)
        return ContractDecision.Refused(conflict)
    }
    val next = contract.copy(version = currentVersion + 1)
    return ContractDecision.Changed(Event.ContractChanged(changeId, next))
}

private const val MAX_COUNT = 10_000_000
private const val MAX_WEIGHT = 1_000_000
private const val MAX_AMOUNT = 1_000_000_000_000L
private const val MAX_TOKEN_HASHES = 100
private const val MAX_DEADLINE_MS = 30L * 24 * 3_600_000

private fun problemOf(changeId: ChangeId, contract: Contract): Refusal.Invalid? {
    if (!isValidId(changeId.value)) {
        return Refusal.Invalid("change_id", "must be 1 to 128 of A-Z a-z 0-9 . _ : @ -")
    }
    return identityProblem(contract) ?: resourceProblem(contract) ?: countProblem(contract)
}

private fun identityProblem(contract: Contract): Refusal.Invalid? = when {
    !isValidId(contract.customerId.value) ->
        Refusal.Invalid("customer_id", "must be 1 to 128 of A-Z a-z 0-9 . _ : @ -")
    // Bearer tokens have the form <customer>:<secret>.
    ':' in contract.customerId.value ->
        Refusal.Invalid("customer_id", "must not contain a colon")
    contract.urgencies.isEmpty() ->
        Refusal.Invalid("urgencies", "must name at least one urgency")
    contract.tokenHashes.size > MAX_TOKEN_HASHES ->
        Refusal.Invalid("token_hashes", "must be at most $MAX_TOKEN_HASHES")
    contract.tokenHashes.any { !isHex(it.saltHex) || !isHex(it.hashHex) } ->
        Refusal.Invalid("token_hashes", "must be hexadecimal salts and hashes")
    else -> null
}

private fun resourceProblem(contract: Contract): Refusal.Invalid? {
    val ceiling = contract.ceiling
    val largest = maxOf(ceiling.cpuMillis, ceiling.memoryMib, ceiling.accelerators)
    return when {
        !ceiling.isNonNegative() ->
            Refusal.Invalid("ceiling", "must not be negative")
        largest > MAX_AMOUNT ->
            Refusal.Invalid("ceiling", "must be at most $MAX_AMOUNT in each dimension")
        !contract.guaranteed.isNonNegative() ->
            Refusal.Invalid("guaranteed", "must not be negative")
        !contract.guaranteed.fitsInto(ceiling) ->
            Refusal.Invalid("guaranteed", "must not be more than the ceiling")
        else -> null
    }
}

private fun countProblem(contract: Contract): Refusal.Invalid? {
    val counts = listOf(
        "max_running_tasks" to contract.maxRunningTasks,
        "max_running_requests" to contract.maxRunningRequests,
        "request_rate_per_sec" to contract.requestRatePerSec,
        "request_burst" to contract.requestBurst,
        "max_queued_requests" to contract.maxQueuedRequests,
        "max_queued_jobs" to contract.maxQueuedJobs
    )
    val wrong = counts.firstOrNull { (_, count) -> count !in 0..MAX_COUNT }
    return when {
        wrong != null -> Refusal.Invalid(wrong.first, "must be from 0 to $MAX_COUNT")
        contract.weight !in 1..MAX_WEIGHT ->
            Refusal.Invalid("weight", "must be from 1 to $MAX_WEIGHT")
        contract.maxDeadlineMs !in 1..MAX_DEADLINE_MS ->
            Refusal.Invalid("max_deadline_ms", "must be from 1 to $MAX_DEADLINE_MS")
        else -> null
    }
}

private val hexPattern = Regex("([0-9a-fA-F]{2})+")

private fun isHex(text: String): Boolean = hexPattern.matches(text)
