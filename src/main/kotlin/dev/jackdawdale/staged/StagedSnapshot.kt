package dev.jackdawdale.staged

import dev.jackdawdale.model.Contract
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable

/** The serialized form of [StagedState]. */
@Serializable
internal data class StagedSnapshot(
    val configuration: QueueConfiguration? = null,
    val active: List<StagedJob> = emptyList(),
    val ended: List<StagedJob> = emptyList(),
    val refusedIds: Map<String, Long> = emptyMap(),
    val workers: List<PushWorker> = emptyList(),
    val contracts: List<Contract> = emptyList()
)

internal fun StagedState.toSnapshot() = StagedSnapshot(
    configuration = configuration,
    active = active.values.toList(),
    ended = ended.values.toList(),
    refusedIds = refusedIds,
    workers = workers.values.toList(),
    contracts = contracts.values.toList()
)

internal fun StagedSnapshot.toState() = StagedState(
    configuration = configuration,
    active = active.associateBy { it.spec.jobId }.toPersistentHashMap(),
    ended = ended.associateBy { it.spec.jobId }.toPersistentMap(),
    refusedIds = refusedIds.toPersistentMap(),
    workers = workers.associateBy { it.workerId }.toPersistentHashMap(),
    contracts = contracts.associateBy { it.customerId }.toPersistentHashMap()
)
