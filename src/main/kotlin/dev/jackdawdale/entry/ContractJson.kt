package dev.jackdawdale.entry

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TokenHash
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WhenFull
import kotlinx.serialization.Serializable

private val hexPattern = Regex("(?:[0-9a-fA-F]{2})+")

/** Processors, memory and accelerators in JSON. */
@Serializable
internal data class ResourcesJson(
    val cpuMillis: Long = 0,
    val memoryMib: Long = 0,
    val accelerators: Long = 0
)

/** A contract in JSON; [expectedVersion] and [changeId] are given with a change only. */
@Serializable
internal data class ContractJson(
    val customerId: String? = null,
    val version: Long? = null,
    val guaranteed: ResourcesJson = ResourcesJson(),
    val ceiling: ResourcesJson,
    val maxRunningTasks: Int,
    val maxRunningRequests: Int,
    val requestRatePerSec: Int,
    val requestBurst: Int,
    val maxQueuedRequests: Int,
    val maxQueuedJobs: Int,
    val urgencies: List<String> = Urgency.entries.map { it.name.lowercase() },
    val whenFull: String = WhenFull.WAIT.name.lowercase(),
    val weight: Int = 1,
    val maxDeadlineMs: Long = 3_600_000,
    val tokenHashes: List<TokenHash> = emptyList(),
    val expectedVersion: Long? = null,
    val changeId: String? = null
)

/** All contracts in JSON. */
@Serializable
internal data class ContractsJson(val contracts: List<ContractJson>, val asOfMs: Long)

internal fun Contract.toJson(): ContractJson = ContractJson(
    customerId = customerId.value,
    version = version,
    guaranteed = guaranteed.toJson(),
    ceiling = ceiling.toJson(),
    maxRunningTasks = maxRunningTasks,
    maxRunningRequests = maxRunningRequests,
    requestRatePerSec = requestRatePerSec,
    requestBurst = requestBurst,
    maxQueuedRequests = maxQueuedRequests,
    maxQueuedJobs = maxQueuedJobs,
    urgencies = urgencies.sorted().map { it.name.lowercase() },
    whenFull = whenFull.name.lowercase(),
    weight = weight,
    maxDeadlineMs = maxDeadlineMs,
    tokenHashes = tokenHashes
)

internal fun ContractJson.toContract(path: CustomerId): Contract {
    if (customerId != null && customerId != path.value) {
        throw invalid("customer_id", "differs from the path")
    }
    return Contract(
        customerId = path,
        version = version ?: 0,
        guaranteed = guaranteed.toGuaranteed(),
        ceiling = ceiling.toResources("ceiling"),
        maxRunningTasks = atLeast(0, "max_running_tasks", maxRunningTasks),
        maxRunningRequests = atLeast(0, "max_running_requests", maxRunningRequests),
        requestRatePerSec = atLeast(0, "request_rate_per_sec", requestRatePerSec),
        requestBurst = atLeast(0, "request_burst", requestBurst),
        maxQueuedRequests = atLeast(0, "max_queued_requests", maxQueuedRequests),
        maxQueuedJobs = atLeast(0, "max_queued_jobs", maxQueuedJobs),
        urgencies = urgencies.map { enumOf<Urgency>("urgencies", it) }.toSet(),
        whenFull = enumOf<WhenFull>("when_full", whenFull),
        weight = atLeast(1, "weight", weight),
        maxDeadlineMs = atLeast(1L, "max_deadline_ms", maxDeadlineMs),
        tokenHashes = tokenHashes.onEach { it.check() }
    )
}

private fun Resources.toJson(): ResourcesJson = ResourcesJson(cpuMillis, memoryMib, accelerators)

private fun ResourcesJson.toResources(field: String): Resources = Resources(
    atLeast(0L, "$field.cpu_millis", cpuMillis),
    atLeast(0L, "$field.memory_mib", memoryMib),
    atLeast(0L, "$field.accelerators", accelerators)
)

private fun ResourcesJson.toGuaranteed(): Resources = Resources(
    resource("guaranteed.cpu_millis", cpuMillis),
    resource("guaranteed.memory_mib", memoryMib),
    resource("guaranteed.accelerators", accelerators)
)

private fun TokenHash.check() {
    if (!hexPattern.matches(saltHex)) throw invalid("token_hashes.salt_hex", "is not hexadecimal")
    if (!hexPattern.matches(hashHex)) throw invalid("token_hashes.hash_hex", "is not hexadecimal")
}

private inline fun <reified E : Enum<E>> enumOf(field: String, text: String): E {
    val values = enumValues<E>()
    return values.firstOrNull { it.name.equals(text, ignoreCase = true) }
        ?: throw invalid(field, "must be one of ${values.map { it.name.lowercase() }}")
}
