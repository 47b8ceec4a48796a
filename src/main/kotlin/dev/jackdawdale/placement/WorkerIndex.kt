package dev.jackdawdale.placement

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Worker
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.minus
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.plus

/** Groups active workers of similar free capacity, by octaves of processors and memory. */
internal data class FreeKey(val accelerated: Boolean, val cpuOctave: Int, val memoryOctave: Int)

/**
 * Active workers, indexed by free capacity.
 *
 * @property capacities number of active workers of each size
 * @property total capacity of all active workers
 */
internal data class WorkerIndex(
    val byFree: PersistentMap<FreeKey, PersistentSet<WorkerId>> = persistentHashMapOf(),
    val capacities: PersistentMap<Resources, Int> = persistentHashMapOf(),
    val total: Resources = Resources()
)

private fun octave(value: Long): Int =
    if (value <= 0) 0 else Long.SIZE_BITS - value.countLeadingZeroBits()

private fun Worker.freeKey() = FreeKey(
    accelerated = info.capacity.accelerators > 0,
    cpuOctave = octave(free.cpuMillis),
    memoryOctave = octave(free.memoryMib)
)

/** The index after a worker changed from [old] to [new]; null when absent before or after. */
internal fun WorkerIndex.changed(old: Worker?, new: Worker?): WorkerIndex {
    val oldActive = old?.takeIf { it.phase == WorkerPhase.ACTIVE }
    val newActive = new?.takeIf { it.phase == WorkerPhase.ACTIVE }
    val oldKey = oldActive?.freeKey()
    val newKey = newActive?.freeKey()
    var result = this
    if (oldKey != newKey) {
        if (oldKey != null) result = result.removed(oldKey, oldActive.info.workerId)
        if (newKey != null) result = result.added(newKey, newActive.info.workerId)
    }
    return result.withCapacityChange(oldActive?.info?.capacity, newActive?.info?.capacity)
}

private fun WorkerIndex.removed(key: FreeKey, id: WorkerId): WorkerIndex {
    val rest = (byFree[key] ?: return this) - id
    return copy(byFree = if (rest.isEmpty()) byFree - key else byFree.put(key, rest))
}

private fun WorkerIndex.added(key: FreeKey, id: WorkerId): WorkerIndex =
    copy(byFree = byFree.put(key, (byFree[key] ?: persistentHashSetOf()) + id))

private fun WorkerIndex.withCapacityChange(old: Resources?, new: Resources?): WorkerIndex {
    if (old == new) return this
    var sizes = capacities
    var sum = total
    if (old != null) {
        val count = (sizes[old] ?: 0) - 1
        sizes = if (count > 0) sizes.put(old, count) else sizes - old
        sum -= old
    }
    if (new != null) {
        sizes = sizes.put(new, (sizes[new] ?: 0) + 1)
        sum += new
    }
    return copy(capacities = sizes, total = sum)
}

/** Number of active workers whose whole capacity holds [need]. */
internal fun WorkerIndex.countLargeEnough(need: Resources): Int =
    capacities.entries.sumOf { if (need.fitsInto(it.key)) it.value else 0 }

/** Keys whose workers may have [need] free: least free first, accelerator workers last. */
internal fun WorkerIndex.keysFor(need: Resources): List<FreeKey> {
    val cpuOctave = octave(need.cpuMillis)
    val memoryOctave = octave(need.memoryMib)
    return byFree.keys
        .filter {
            it.cpuOctave >= cpuOctave &&
                it.memoryOctave >= memoryOctave &&
                (it.accelerated || need.accelerators == 0L)
        }
        .sortedWith(
            compareBy({ it.accelerated }, { it.cpuOctave + it.memoryOctave }, { it.cpuOctave })
        )
}

/** [need], capped in each dimension to the largest capacity of an active worker. */
internal fun WorkerIndex.cappedToLargest(need: Resources): Resources {
    if (capacities.isEmpty()) return need
    return Resources(
        minOf(need.cpuMillis, capacities.keys.maxOf { it.cpuMillis }),
        minOf(need.memoryMib, capacities.keys.maxOf { it.memoryMib }),
        minOf(need.accelerators, capacities.keys.maxOf { it.accelerators })
    )
}
