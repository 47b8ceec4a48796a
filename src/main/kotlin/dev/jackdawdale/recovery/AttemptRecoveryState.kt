package dev.jackdawdale.recovery

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.WorkId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf

/**
 * Limits and back-off of retries of requests.
 *
 * @property budgetPercent retries earned per hundred first attempts of a customer
 * @property budgetFloor retries that a customer has at the start
 * @property budgetMax retries that a customer can accumulate
 * @property maxAttempts attempts of one request that may have reached an endpoint
 * @property backoffBaseMs back-off before the second attempt; doubles with each further one
 * @property seed seed of the jitter
 */
internal data class AttemptRecoverySettings(
    val budgetPercent: Int = 10,
    val budgetFloor: Int = 3,
    val budgetMax: Int = 100,
    val maxAttempts: Int = 5,
    val backoffBaseMs: Long = 50,
    val backoffMaxMs: Long = 5_000,
    val seed: Long = 0
)

/**
 * Soft state of the recovery of requests; it is not replicated.
 *
 * @property budgets retries left to each customer, in hundredths; a missing entry means the floor
 * @property placedByEntryHost placed requests by entry host
 */
internal data class AttemptRecoveryState(
    val settings: AttemptRecoverySettings = AttemptRecoverySettings(),
    val budgets: PersistentMap<CustomerId, Int> = persistentHashMapOf(),
    val placedByEntryHost: PersistentMap<HostId, PersistentSet<WorkId>> = persistentHashMapOf()
)

/** Rebuilds the state for a new leader: every customer starts with the floor of the budget. */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun attemptRecoveryState(
    state: CellState,
    nowMs: Long,
    settings: AttemptRecoverySettings = AttemptRecoverySettings()
): AttemptRecoveryState = state.requests.values.fold(AttemptRecoveryState(settings)) { all, work ->
    all.moveInIndex(work.spec.workId, null, work.placement?.entryHostId)
}

/** One retry in the unit of the budgets, which are hundredths of a retry. */
internal const val ONE_RETRY = 100

internal fun AttemptRecoveryState.budgetOf(customerId: CustomerId): Int =
    budgets[customerId] ?: (settings.budgetFloor * ONE_RETRY)

/** The state after [event], which led from [before] to [after]. */
@Suppress("UnusedParameter") // the time is part of every decision's signature
internal fun AttemptRecoveryState.observe(
    event: Event,
    before: CellState,
    after: CellState,
    nowMs: Long
): AttemptRecoveryState = when (event) {
    is Event.RequestPlaced -> earnBudget(event, before).updateIndex(event.workId, before, after)
    is Event.RequestNotSent -> updateIndex(event.workId, before, after)
    is Event.RequestRetried -> spendBudget(event, before).updateIndex(event.workId, before, after)
    is Event.RequestEnded -> updateIndex(event.workId, before, after)
    else -> this
}

private fun AttemptRecoveryState.earnBudget(
    event: Event.RequestPlaced,
    before: CellState
): AttemptRecoveryState {
    val work = before.requests[event.workId] ?: return this
    if (work.attempts > 0) return this
    return changeBudget(work.spec.customerId, settings.budgetPercent)
}

private fun AttemptRecoveryState.spendBudget(
    event: Event.RequestRetried,
    before: CellState
): AttemptRecoveryState {
    val work = before.requests[event.workId] ?: return this
    if (work.placement?.token != event.token) return this
    return changeBudget(work.spec.customerId, -ONE_RETRY)
}

private fun AttemptRecoveryState.changeBudget(
    customerId: CustomerId,
    change: Int
): AttemptRecoveryState {
    val maxBudget = maxOf(settings.budgetMax, settings.budgetFloor) * ONE_RETRY
    val next = (budgetOf(customerId) + change).coerceIn(0, maxBudget)
    return copy(budgets = budgets.put(customerId, next))
}

private fun AttemptRecoveryState.updateIndex(
    workId: WorkId,
    before: CellState,
    after: CellState
): AttemptRecoveryState = moveInIndex(
    workId,
    before.requests[workId]?.placement?.entryHostId,
    after.requests[workId]?.placement?.entryHostId
)

private fun AttemptRecoveryState.moveInIndex(
    workId: WorkId,
    from: HostId?,
    to: HostId?
): AttemptRecoveryState {
    if (from == to) return this
    var index = placedByEntryHost
    if (from != null) {
        val rest = (index[from] ?: persistentHashSetOf()).remove(workId)
        index = if (rest.isEmpty()) index.remove(from) else index.put(from, rest)
    }
    if (to != null) {
        index = index.put(to, (index[to] ?: persistentHashSetOf()).add(workId))
    }
    return copy(placedByEntryHost = index)
}
