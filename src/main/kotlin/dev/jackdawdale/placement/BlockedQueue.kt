package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import kotlin.math.pow

/**
 * A queue in which nothing could be placed. It is skipped until [untilMs], or until capacity is
 * freed and a worker has room for [minNeed].
 *
 * @property freedCount value of [PlacementState.freedCount] when the queue was tried
 * @property minNeed lower bound of the need of the queue's tasks in each dimension
 */
internal data class BlockedQueue(val freedCount: Long, val untilMs: Long, val minNeed: Resources)

/** Lower bound of the need of all tasks in [classes], in each dimension. */
internal fun minimumNeed(classes: Collection<SizeClass>): Resources = Resources(
    lowerBound(classes.minOf { it.cpuStep }),
    lowerBound(classes.minOf { it.memoryStep }),
    classes.minOf { it.accelerators }
)

private fun lowerBound(step: Int): Long =
    if (step <= 0) 0 else 2.0.pow((step - 1) / 4.0).toLong() - 1

/** Tells whether an active worker has room for a need; looked up once per need and pass. */
internal class RoomCheck(private val state: CellState, private val index: WorkerIndex) {
    private val cache = mutableMapOf<Resources, Boolean>()

    fun hasRoom(need: Resources): Boolean = cache.getOrPut(need) {
        index.keysFor(need).any { key ->
            index.byFree.getValue(key).any { need.fitsInto(state.workers.getValue(it).free) }
        }
    }
}
