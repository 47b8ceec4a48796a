package dev.jackdawdale.routing

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.model.CustomerId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Sort key of a customer in a [FairQueue]: least weighted usage first. */
internal data class FairKey(val usedMs: Double, val customerId: CustomerId) :
    Comparable<FairKey> {
    override fun compareTo(other: FairKey): Int {
        if (usedMs != other.usedMs) return usedMs.compareTo(other.usedMs)
        return customerId.value.compareTo(other.customerId.value)
    }
}

/**
 * Weighted fair queue of the waiting work of one service and size class: start-time fair queueing
 * over slot time between customers, and [WaitingKey] order within a customer.
 *
 * @property heads by customer, the first request of each of its groups that may start
 * @property order customers with a head that are below their running limit
 * @property usedMs weighted slot time of each customer, on the scale of [virtualMs]
 * @property virtualMs virtual time: the greatest usage of a customer when it was served
 */
internal data class FairQueue(
    val heads: PersistentMap<CustomerId, SortedTree<WaitingKey>> = persistentHashMapOf(),
    val order: SortedTree<FairKey> = sortedTreeOf(),
    private val usedMs: PersistentMap<CustomerId, Double> = persistentHashMapOf(),
    private val virtualMs: Double = 0.0
) {
    fun headOf(customerId: CustomerId): WaitingKey? = heads[customerId]?.firstOrNull()

    /** Replaces the head [old] of the customer by [new]; null stands for no head. */
    fun withHead(
        customerId: CustomerId,
        old: WaitingKey?,
        new: WaitingKey?,
        mayRun: Boolean
    ): FairQueue {
        var own = heads[customerId] ?: sortedTreeOf()
        if (old != null) own -= old
        if (new != null) own += new
        val next = if (own.isEmpty()) heads.remove(customerId) else heads.put(customerId, own)
        return copy(heads = next).ordered(customerId, mayRun)
    }

    /** Adds the customer to [order] if it has a head and may run, else removes it. */
    fun ordered(customerId: CustomerId, mayRun: Boolean): FairQueue {
        val used = usedMs[customerId] ?: 0.0
        val key = FairKey(used, customerId)
        val wanted = mayRun && customerId in heads
        val present = key in order
        if (wanted == present) return this
        if (!wanted) return copy(order = order - key)
        // A customer gets no credit for time in which it had no waiting work.
        val current = maxOf(used, virtualMs)
        return copy(
            order = order + FairKey(current, customerId),
            usedMs = usedMs.put(customerId, current)
        )
    }

    /** Advances virtual time to the usage of the served customer. */
    fun served(customerId: CustomerId): FairQueue =
        copy(virtualMs = maxOf(virtualMs, usedMs[customerId] ?: 0.0))

    /** Adds [weightedMs] to the customer's usage; negative values are refunds. */
    fun charged(customerId: CustomerId, weightedMs: Double, maxDebtMs: Double): FairQueue {
        val used = usedMs[customerId] ?: 0.0
        val next = (used + weightedMs).coerceIn(virtualMs, virtualMs + maxDebtMs)
        val old = FairKey(used, customerId)
        val moved = if (old in order) order - old + FairKey(next, customerId) else order
        return copy(order = moved, usedMs = usedMs.put(customerId, next))
    }
}
