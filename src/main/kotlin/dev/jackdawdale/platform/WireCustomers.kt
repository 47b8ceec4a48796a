package dev.jackdawdale.platform

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.MAX_RESOURCE
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TokenHash
import kotlin.math.ceil
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

private const val CUSTOMERS = "tenants"

/** Whether the settings' list of [names] of what an installation has contains customers. */
internal fun namesCustomers(names: List<String>): Boolean = CUSTOMERS in names

/** Whether the configuration says which customers there are, even if none. */
internal val JsonObject.listsCustomers: Boolean get() = (this[CUSTOMERS] ?: JsonNull) !is JsonNull

/**
 * The contracts of the customers in the configuration [fields]. Entries of one name are one
 * customer with the keys of all of them and the limits of the last.
 *
 * Throws [MalformedBody] when two customers share a key; no message holds a key.
 */
internal fun customers(fields: JsonObject, version: Long): List<Contract> {
    val contracts = fields.listOrEmpty(CUSTOMERS)
        .map { contract(it.asObject(CUSTOMERS), version) }
        .groupBy { it.customerId }.values
        .map { entries ->
            entries.last().copy(tokenHashes = entries.flatMap { it.tokenHashes }.distinct())
        }
    val holders = HashMap<TokenHash, CustomerId>()
    for (contract in contracts) {
        for (hash in contract.tokenHashes) {
            val other = holders.put(hash, contract.customerId) ?: continue
            throw MalformedBody("$CUSTOMERS $other and ${contract.customerId} share a key")
        }
    }
    return contracts
}

private fun contract(fields: JsonObject, version: Long): Contract {
    fields.checkWholeNumber("priority")
    val weight = fields.doubleOrNull("weight", Double.MAX_VALUE) ?: 0.0
    // The conversion limits the value to the largest Int.
    val wholeWeight = ceil(weight).toInt()
    val cap = fields.objectOrNull("cap") ?: JsonObject(emptyMap())
    return Contract(
        customerId = CustomerId(fields.nameText("name")),
        version = version,
        ceiling = Resources(cap.ceiling("cpu"), cap.ceiling("memMb"), cap.ceiling("gpu")),
        maxRunningTasks = Int.MAX_VALUE,
        maxRunningRequests = Int.MAX_VALUE,
        requestRatePerSec = wholeWeight,
        requestBurst = wholeWeight,
        maxQueuedRequests = Int.MAX_VALUE,
        maxQueuedJobs = Int.MAX_VALUE,
        weight = maxOf(wholeWeight, 1),
        tokenHashes = fields.listOrEmpty("apiKeys")
            .map { TokenHash(saltHex = "", hashHex = hashKey(it.asText("apiKeys"))) }
            .distinct()
    )
}

/** 0 stands for no limit. */
private fun JsonObject.ceiling(name: String): Long =
    longOrNull(name)?.takeIf { it > 0 }?.coerceAtMost(MAX_RESOURCE) ?: MAX_RESOURCE
