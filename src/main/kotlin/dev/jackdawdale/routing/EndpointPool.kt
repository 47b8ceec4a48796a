package dev.jackdawdale.routing

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * The load and health of an endpoint.
 *
 * @property capacity most requests at a time: its slots, limited by its connections
 * @property longRunning placed requests that count as long
 * @property lastUsed token of its last placement
 * @property failures consecutive failures; an endpoint with failures is suspect
 * @property retryAtMs time of the next probe, or while [probing], time at which the probe passes
 */
internal data class EndpointLoad(
    val endpointId: EndpointId,
    val incarnation: Long,
    val active: Boolean,
    val capacity: Int,
    val inFlight: Int,
    val longRunning: Int = 0,
    val lastUsed: Long = 0,
    val failures: Int = 0,
    val lastFailureMs: Long = 0,
    val retryAtMs: Long = 0,
    val probing: Boolean = false
) {
    val free: Int get() = capacity - inFlight
    val healthy: Boolean get() = active && failures == 0

    /** Long work may hold all slots but one, but at least one. */
    val hasRoomForLong: Boolean get() = longRunning < maxOf(capacity - 1, 1)
}

/** Sort key of an endpoint: most free slots first, then least recently used. */
internal data class FreeKey(val free: Int, val lastUsed: Long, val endpointId: EndpointId) :
    Comparable<FreeKey> {
    override fun compareTo(other: FreeKey): Int {
        if (free != other.free) return other.free.compareTo(free)
        if (lastUsed != other.lastUsed) return lastUsed.compareTo(other.lastUsed)
        return endpointId.value.compareTo(other.endpointId.value)
    }
}

internal data class RetryKey(val retryAtMs: Long, val endpointId: EndpointId) :
    Comparable<RetryKey> {
    override fun compareTo(other: RetryKey): Int {
        if (retryAtMs != other.retryAtMs) return retryAtMs.compareTo(other.retryAtMs)
        return endpointId.value.compareTo(other.endpointId.value)
    }
}

/**
 * The endpoints of one service.
 *
 * @property free healthy endpoints with a free slot
 * @property freeForLong endpoints of [free] that may take long work
 * @property suspects suspect endpoints without a probe in flight, by the time of the next probe
 * @property probing suspect endpoints with a probe in flight, by the time at which it passes
 * @property healthySlots total capacity of healthy endpoints
 * @property activeCount number of active endpoints, including suspect ones
 */
internal data class EndpointPool(
    val loads: PersistentMap<EndpointId, EndpointLoad> = persistentHashMapOf(),
    val free: SortedTree<FreeKey> = sortedTreeOf(),
    val freeForLong: SortedTree<FreeKey> = sortedTreeOf(),
    val suspects: SortedTree<RetryKey> = sortedTreeOf(),
    val probing: SortedTree<RetryKey> = sortedTreeOf(),
    val healthySlots: Int = 0,
    val activeCount: Int = 0,
    val longRunning: Int = 0,
    val longByCustomer: PersistentMap<CustomerId, Int> = persistentHashMapOf()
) {
    /** Sets the endpoint's load; null removes the endpoint. */
    fun withLoad(endpointId: EndpointId, load: EndpointLoad?): EndpointPool {
        val old = loads[endpointId]
        if (old == load) return this
        val without = if (old == null) this else removed(old)
        return if (load == null) without else without.added(load)
    }

    private fun removed(load: EndpointLoad): EndpointPool {
        val key = FreeKey(load.free, load.lastUsed, load.endpointId)
        val retry = RetryKey(load.retryAtMs, load.endpointId)
        return copy(
            loads = loads.remove(load.endpointId),
            free = free - key,
            freeForLong = freeForLong - key,
            suspects = suspects - retry,
            probing = probing - retry,
            healthySlots = healthySlots - if (load.healthy) load.capacity else 0,
            activeCount = activeCount - if (load.active) 1 else 0
        )
    }

    private fun added(load: EndpointLoad): EndpointPool {
        val key = FreeKey(load.free, load.lastUsed, load.endpointId)
        val retry = RetryKey(load.retryAtMs, load.endpointId)
        val isFree = load.healthy && load.free > 0
        val isSuspect = load.active && load.failures > 0
        return copy(
            loads = loads.put(load.endpointId, load),
            free = if (isFree) free + key else free,
            freeForLong = if (isFree && load.hasRoomForLong) freeForLong + key else freeForLong,
            suspects = if (isSuspect && !load.probing) suspects + retry else suspects,
            probing = if (isSuspect && load.probing) probing + retry else probing,
            healthySlots = healthySlots + if (load.healthy) load.capacity else 0,
            activeCount = activeCount + if (load.active) 1 else 0
        )
    }

    /** Adds [change] to the number of the customer's long requests on the endpoint. */
    fun longChanged(endpointId: EndpointId, customerId: CustomerId, change: Int): EndpointPool {
        val own = (longByCustomer[customerId] ?: 0) + change
        val counted = copy(
            longRunning = longRunning + change,
            longByCustomer =
            if (own > 0) longByCustomer.put(customerId, own) else longByCustomer.remove(customerId)
        )
        val load = loads[endpointId] ?: return counted
        return counted.withLoad(endpointId, load.copy(longRunning = load.longRunning + change))
    }
}
