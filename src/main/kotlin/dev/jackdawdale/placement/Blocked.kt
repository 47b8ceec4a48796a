package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.free
import kotlin.math.pow

/**
 * A queue in which nothing could be placed. It need not be tried again before [untilMs] until room
 * was made that could hold [least].
 *
 * @property freed value of [PlacementState.freed] when the queue was tried
 * @property least lower bound, in each dimension, of what the queue's tasks need
 */
internal data class Blocked(val freed: Long, val untilMs: Long, val least: Resources)

/** Lower bound of what the jobs of these size classes need. */
internal fun leastNeed(classes: Collection<SizeClass>): Resources = Resources(
    lowerBound(classes.minOf { it.cpuStep }),
    lowerBound(classes.minOf { it.memoryStep }),
    classes.minOf { it.accelerators }
)

private fun lowerBound(step: Int): Long =
    if (step <= 0) 0 else 2.0.pow((step - 1) / 4.0).toLong() - 1

/** Finds out once per pass whether some active worker has room for a need. */
internal class RoomCheck(private val state: CellState, private val index: WorkerIndex) {
    private val known = mutableMapOf<Resources, Boolean>()

    fun hasRoom(need: Resources): Boolean = known.getOrPut(need) {
        index.keysFor(need).any { key ->
            index.byFree.getValue(key).any { need.fitsInto(state.workers.getValue(it).free) }
        }
    }
}
