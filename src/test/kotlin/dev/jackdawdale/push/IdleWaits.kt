package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.times
import dev.jackdawdale.placement.allows
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.placements
import dev.jackdawdale.staged.rack
import dev.jackdawdale.staged.reservedPerTask

/**
 * Measures how long steps that could run are kept without a run: their job has no run, the workers
 * that they may use have free room for all waiting tasks twice over, their customer uses under half
 * of its ceiling and has room for them below it, and under half of the cell is in use.
 *
 * @param allows whether the step may run on the worker
 */
internal class IdleWaits(
    private val workers: List<PushWorker>,
    private val allows: (StepId, workerId: String) -> Boolean
) {
    private val sinceMs = HashMap<StepId, Long>()

    /** Longest time that each step was kept, in milliseconds. */
    val longestMs = HashMap<StepId, Long>()

    fun observe(state: StagedState, nowMs: Long) {
        val kept = if (isHalfFree(state)) kept(state) else emptySet()
        sinceMs.keys.retainAll(kept)
        kept.forEach { stepId ->
            val forMs = nowMs - sinceMs.getOrPut(stepId) { nowMs }
            longestMs.merge(stepId, forMs, ::maxOf)
        }
    }

    private fun isHalfFree(state: StagedState): Boolean =
        2 * used(state).values.sumOf { it.cpuMillis } < workers.sumOf { it.cpuMillis }

    private fun used(state: StagedState): Map<String, Resources> {
        val used = HashMap<String, Resources>()
        for (job in state.active.values) {
            job.placements().forEach { (taskId, placement) ->
                val each = job.spec.steps[taskId.stepId.step].reservedPerTask
                used.merge(placement.workerId, each) { before, more -> before + more }
            }
        }
        return used
    }

    private fun kept(state: StagedState): Set<StepId> {
        val ledger = CustomerLedger(state)
        val used = used(state)
        return state.active.values.filter { it.placements().isEmpty() }
            .flatMap { readySteps(it) }
            .filter { it.hasRoomTwice(used) && it.isBelowCeiling(state, ledger) }
            .mapTo(HashSet()) { it.id }
    }

    private fun ReadyStep.hasRoomTwice(used: Map<String, Resources>): Boolean {
        val slots = workers.filter { allows(id, it.workerId) }.sumOf {
            val whole = Resources(it.cpuMillis, it.memoryMib, it.accelerators)
            val free = whole - (used[it.workerId] ?: Resources())
            val worker = AvailableWorker(it.workerId, it.rack, it.labels, free)
            if (worker.hasLabelFor(spec)) worker.slots(spec).coerceAtMost(spec.taskCount) else 0
        }
        return slots >= 2 * waiting.size
    }

    private fun ReadyStep.isBelowCeiling(state: StagedState, ledger: CustomerLedger): Boolean {
        val contract = customerId?.let { state.contracts[it] } ?: return true
        val use = ledger.use(contract.customerId)
        return use.allows(contract, use.held, 0) &&
            use.allows(contract, spec.perTask * waiting.size, waiting.size)
    }
}
