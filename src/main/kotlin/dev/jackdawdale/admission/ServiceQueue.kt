package dev.jackdawdale.admission

import dev.jackdawdale.collections.SortedTree
import dev.jackdawdale.collections.sortedTreeOf
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.WorkId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/**
 * A waiting request, ordered by its latest start.
 *
 * @property latestStartMs latest start that still meets the deadline
 */
internal data class WaitingEntry(val latestStartMs: Long, val workId: WorkId) :
    Comparable<WaitingEntry> {
    override fun compareTo(other: WaitingEntry): Int =
        compareValuesBy(this, other, { it.latestStartMs }, { it.workId.value })
}

/** Number of a customer's waiting requests, divided by its weight. */
internal data class QueueShare(val perWeight: Double, val customerId: CustomerId) :
    Comparable<QueueShare> {
    override fun compareTo(other: QueueShare): Int =
        compareValuesBy(this, other, { it.perWeight }, { it.customerId.value })
}

/** Waiting requests of one service, indexed to find the next one to shed. */
internal data class ServiceQueue(
    val all: SortedTree<WaitingEntry> = sortedTreeOf(),
    val byCustomer: PersistentMap<CustomerId, SortedTree<WaitingEntry>> = persistentHashMapOf(),
    val shares: SortedTree<QueueShare> = sortedTreeOf(),
    private val entries: PersistentMap<WorkId, WaitingEntry> = persistentHashMapOf(),
    private val shareOf: PersistentMap<CustomerId, QueueShare> = persistentHashMapOf()
) {
    val size: Int get() = all.size

    fun plus(customerId: CustomerId, weight: Int, entry: WaitingEntry): ServiceQueue {
        val own = (byCustomer[customerId] ?: sortedTreeOf()) + entry
        val added = copy(all = all + entry, entries = entries.put(entry.workId, entry))
        return added.withCustomer(customerId, weight, own)
    }

    fun minus(customerId: CustomerId, weight: Int, workId: WorkId): ServiceQueue {
        val entry = entries[workId] ?: return this
        val own = (byCustomer[customerId] ?: sortedTreeOf()) - entry
        val removed = copy(all = all - entry, entries = entries.remove(workId))
        return removed.withCustomer(customerId, weight, own)
    }

    private fun withCustomer(
        customerId: CustomerId,
        weight: Int,
        own: SortedTree<WaitingEntry>
    ): ServiceQueue {
        val others = shareOf[customerId]?.let { shares - it } ?: shares
        if (own.isEmpty()) {
            return copy(
                byCustomer = byCustomer.remove(customerId),
                shares = others,
                shareOf = shareOf.remove(customerId)
            )
        }
        val share = QueueShare(own.size.toDouble() / weight, customerId)
        return copy(
            byCustomer = byCustomer.put(customerId, own),
            shares = others + share,
            shareOf = shareOf.put(customerId, share)
        )
    }
}
