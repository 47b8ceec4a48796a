package dev.jackdawdale.routing

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.model.CustomerId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** A customer's place in the weighted fair order: the one that used least comes first. */
internal data class FairKey(val usedMs: Double, val customerId: CustomerId) :
    Comparable<FairKey> {
    override fun compareTo(other: FairKey): Int {
        if (usedMs != other.usedMs) return usedMs.compareTo(other.usedMs)
        return customerId.value.compareTo(other.customerId.value)
    }
}

/**
 * The waiting work of one size class of one service: weighted fair between customers (start-time
 * fair queueing over slot time), and within a customer by [WaitingKey].
 *
 * @property heads first request of each of the customer's groups
 * @property order customers with a head that are below their running limit
 * @property usedMs weighted slot time that each customer used, on the scale of [virtualMs]
 * @property virtualMs what the customer served last had used
 */
internal data class ClassQueue(
    val heads: PersistentMap<CustomerId, SortedTree<WaitingKey>> = persistentHashMapOf(),
    val order: SortedTree<FairKey> = sortedTreeOf(),
    private val usedMs: PersistentMap<CustomerId, Double> = persistentHashMapOf(),
    private val virtualMs: Double = 0.0
) {
    fun headOf(customerId: CustomerId): WaitingKey? = heads[customerId]?.firstOrNull()

    /** Replaces one head of the customer; null stands for none. */
    fun withHead(
        customerId: CustomerId,
        old: WaitingKey?,
        new: WaitingKey?,
        mayRun: Boolean
    ): ClassQueue {
        var own = heads[customerId] ?: sortedTreeOf()
        if (old != null) own -= old
        if (new != null) own += new
        val next = if (own.isEmpty()) heads.remove(customerId) else heads.put(customerId, own)
        return copy(heads = next).ordered(customerId, mayRun)
    }

    /** Brings the customer into the order or out of it. */
    fun ordered(customerId: CustomerId, mayRun: Boolean): ClassQueue {
        val used = usedMs[customerId] ?: 0.0
        val key = FairKey(used, customerId)
        val wanted = mayRun && customerId in heads
        val present = key in order
        if (wanted == present) return this
        if (!wanted) return copy(order = order - key)
        // A customer that did not wait has no claim on the time that others used meanwhile.
        val current = maxOf(used, virtualMs)
        return copy(
            order = order + FairKey(current, customerId),
            usedMs = usedMs.put(customerId, current)
        )
    }

    /** The customer is served: time moves on to its place. */
    fun served(customerId: CustomerId): ClassQueue =
        copy(virtualMs = maxOf(virtualMs, usedMs[customerId] ?: 0.0))

    /** Adds [weightedMs], which is negative for a refund, to what the customer used. */
    fun charged(customerId: CustomerId, weightedMs: Double, maxDebtMs: Double): ClassQueue {
        val used = usedMs[customerId] ?: 0.0
        val next = (used + weightedMs).coerceIn(virtualMs, virtualMs + maxDebtMs)
        val old = FairKey(used, customerId)
        val moved = if (old in order) order - old + FairKey(next, customerId) else order
        return copy(order = moved, usedMs = usedMs.put(customerId, next))
    }
}
