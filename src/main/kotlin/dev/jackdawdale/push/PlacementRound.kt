package dev.jackdawdale.push

import dev.jackdawdale.control.Pass

/** A waiting step and its rank in one pass. */
internal data class RankedStep(val step: ReadyStep, val rank: Double)

/**
 * What one pass over the waiting steps has used up so far.
 *
 * @property gateOpen whether steps beyond their customer's rate are treated as all others
 */
internal class PlacementRound(
    val pass: Pass,
    val reserved: Reservations,
    val ceilings: CeilingCheck,
    val gateOpen: Boolean
) {
    /** Number of advice calls requested in this pass, at least. */
    var callsRequested = 0

    /** Whether a useful step within its customer's rate lacks workers or a call. */
    var othersLack = false

    /** Whether a step beyond its customer's rate used workers or a call in this pass. */
    var spareUsed = false

    /** Whether workers and hosts are idle, as found for the first step beyond its rate. */
    var hasSpare: Boolean? = null
    val nowMs: Long get() = pass.nowMs

    /** Records that the step started tasks or requested a call. */
    fun used(step: ReadyStep) {
        if (step.job.beyondRate) spareUsed = true
    }
}

/**
 * The choice of workers for a step in one pass.
 *
 * @property unticketed the part of [chosen] on workers without a valid ticket
 * @property place where tasks wait for room near their data or gang
 */
internal class Choice(
    val tasks: List<WaitingTask>,
    val workers: List<AvailableWorker>,
    val chosen: Map<Int, String>,
    val unticketed: Map<Int, String>,
    val place: PlaceChoice
) {
    val placesAll: Boolean get() = chosen.size == tasks.size && unticketed.isEmpty()
}
