package dev.jackdawdale.push

import dev.jackdawdale.placement.LocalityDecision
import dev.jackdawdale.placement.LocalityPolicy
import dev.jackdawdale.placement.LocalityWait
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.staged.reservedPerTask

/**
 * Workers chosen for a step, without those of tasks that wait for a better place.
 *
 * @property waiting number of tasks that wait
 * @property rack the rack that a gang waits for; its free workers are to be kept for it
 */
internal class PlaceChoice(
    val chosen: Map<Int, String>,
    val waiting: Int = 0,
    val rack: String = ""
)

/**
 * Steps that wait for room near their data or, for a gang, in one rack. Used on the control thread
 * only.
 *
 * @param remoteFactor multiple of the run time that a run takes away from its place; 1 for no wait
 * @param decided called when a step begins or ceases to wait, with the inputs of the decision
 */
internal class PlaceWaits(
    private val remoteFactor: Double,
    private val policy: LocalityPolicy,
    private val decided: (stepId: StepId, text: () -> String) -> Unit
) {
    /** @property sinceMs when the step waited first, or null if it has not */
    private class StepWait(var seenMs: Long, var sinceMs: Long? = null, var waits: Boolean = false)

    private val steps = HashMap<StepId, StepWait>()

    /** Places in each rack for which steps that go first wait in this pass. */
    private val ahead = HashMap<String, Int>()
    val ends = RackEnds()

    /** Whether any step may wait. */
    val isActive: Boolean get() = remoteFactor > 1

    fun beginPass(nowMs: Long) {
        ahead.clear()
        steps.values.removeIf { nowMs - it.seenMs > FORGET_AFTER_MS }
    }

    /** Factor by which the worker's distance from the data lengthens a run of the step. */
    fun remoteFactor(spec: StepSpec, labels: List<String>): Double =
        if (spec.dataRack.isEmpty() || spec.dataRack in labels) 1.0 else remoteFactor

    /**
     * Removes the tasks that wait from [chosen].
     *
     * @param capacity workers that the step may use, as if nothing ran there
     */
    fun keepWaiting(
        step: ReadyStep,
        workers: List<AvailableWorker>,
        chosen: Map<Int, String>,
        capacity: () -> List<AvailableWorker>,
        nowMs: Long
    ): PlaceChoice {
        val spec = step.spec
        val isNamed = spec.dataRack.isNotEmpty()
        val hasPlace = isNamed || spec.gang && spec.oneRack
        if (!isActive || !hasPlace || chosen.isEmpty()) return PlaceChoice(chosen)
        val rackOf = workers.associate { it.workerId to it.rack }
        val racks = chosen.values.mapTo(HashSet()) { rackOf[it] }
        val remote = chosen.filterValues { rackOf[it] != spec.dataRack }
        val isInPlace = if (isNamed) remote.isEmpty() else racks.size == 1
        if (isInPlace) return PlaceChoice(chosen)
        return if (spec.gang) {
            gang(step, workers, chosen, capacity(), nowMs)
        } else {
            val place = Place(
                spec,
                spec.dataRack,
                workers.filter { it.rack == spec.dataRack },
                capacity().filter { it.rack == spec.dataRack }
            )
            val decision = decide(step, remote.size, place, nowMs) { it }
            PlaceChoice(chosen - remote.keys.take(decision.waiting).toSet(), decision.waiting)
        }
    }

    /** A gang starts in one place, in the rack that is expected to have room first, or at once. */
    private fun gang(
        step: ReadyStep,
        workers: List<AvailableWorker>,
        chosen: Map<Int, String>,
        capacity: List<AvailableWorker>,
        nowMs: Long
    ): PlaceChoice {
        val spec = step.spec
        val free = workers.groupBy { it.rack }
        val whole = capacity.groupBy { it.rack }
        val size = step.waiting.size
        val place = whole.keys.filter { spec.dataRack.isEmpty() || it == spec.dataRack }
            .map { Place(spec, it, free[it].orEmpty(), whole.getValue(it)) }
            .filter { it.total >= size }
            .minByOrNull { expectedMs(it, size - it.free, nowMs) ?: Long.MAX_VALUE }
            ?: return PlaceChoice(chosen)
        // It has room, but not on workers that are sound and have tickets.
        if (place.free >= size) return PlaceChoice(chosen)
        val decision = decide(step, tasks = 1, place, nowMs) { size - place.free }
        if (decision.waiting == 0) return PlaceChoice(chosen)
        return PlaceChoice(emptyMap(), size, place.rack)
    }

    /** @param missing number of places that the given number of tasks needs */
    private fun decide(
        step: ReadyStep,
        tasks: Int,
        place: Place,
        nowMs: Long,
        missing: (tasks: Int) -> Int
    ): LocalityDecision {
        val entry = steps.getOrPut(step.id) { StepWait(nowMs) }
        entry.seenMs = nowMs
        val wait = LocalityWait(
            // More than all places of the rack are never free at once.
            minOf(tasks, place.total),
            step.spec.expectedMs,
            remoteFactor,
            slackMs = step.latestStartMs - nowMs,
            waitedMs = nowMs - (entry.sinceMs ?: nowMs),
            expectedMs = { expectedMs(place, missing(it), nowMs) }
        )
        val decision = if (step.endsHolds) LocalityDecision(0) else policy(wait)
        if (entry.waits != decision.waiting > 0) {
            entry.waits = decision.waiting > 0
            if (entry.waits) entry.sinceMs = entry.sinceMs ?: nowMs
            decided(step.id) {
                val what = if (entry.waits) "waits" else "stops waiting"
                "step ${step.id.step} $what for rack ${place.rack}: ${decision.waiting} of " +
                    "$tasks, expected ${expectedMs(place, missing(tasks), nowMs)} ms, waited " +
                    "${wait.waitedMs} ms, run time ${wait.runMs} ms, slack ${wait.slackMs} ms"
            }
        }
        if (decision.waiting > 0) ahead.merge(place.rack, missing(decision.waiting), Int::plus)
        return decision
    }

    private fun expectedMs(place: Place, missing: Int, nowMs: Long): Long? {
        if (missing <= 0) return 0
        val each = ends.msPerPlace(place.rack, place.workers, place.need, nowMs) ?: return null
        return (each * (missing + (ahead[place.rack] ?: 0))).toLong()
    }

    /**
     * The workers of a rack that a step may use, with [free] of [total] places for its tasks.
     *
     * @param available these workers as they are
     * @param capacity these workers as if nothing ran there
     */
    private class Place(
        spec: StepSpec,
        val rack: String,
        available: List<AvailableWorker>,
        capacity: List<AvailableWorker>
    ) {
        val need = spec.reservedPerTask
        val workers = capacity.mapTo(HashSet()) { it.workerId }
        val free = available.places(spec)
        val total = capacity.places(spec)

        private fun List<AvailableWorker>.places(spec: StepSpec): Int =
            filter { it.hasLabelFor(spec) }.sumOf { minOf(it.slots(spec), spec.taskCount) }
    }

    private companion object {
        /** Longer than a step pauses or waits for advice between two decisions. */
        const val FORGET_AFTER_MS = 10_000L
    }
}
