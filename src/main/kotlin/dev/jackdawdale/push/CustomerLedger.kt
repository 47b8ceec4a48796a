package dev.jackdawdale.push

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.times
import dev.jackdawdale.placement.CustomerUse
import dev.jackdawdale.placement.allows
import dev.jackdawdale.placement.countAllowed
import dev.jackdawdale.placement.plus
import dev.jackdawdale.placement.withTasks
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StagedState
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.staged.placements
import dev.jackdawdale.staged.step

/**
 * Resources that may be in use for each customer: those of all placements in the replicated state,
 * whether the worker has confirmed them or not.
 *
 * A new leader counts them in [state], so that no run of an earlier leader is missed before its
 * worker has reported.
 */
internal class CustomerLedger(state: StagedState) {
    private val uses = HashMap<CustomerId, CustomerUse>()

    init {
        for (job in state.active.values) {
            job.placements().forEach { (taskId, _) -> add(job, taskId.stepId, 1) }
        }
    }

    fun use(customerId: CustomerId): CustomerUse = uses[customerId] ?: CustomerUse()

    /** Counts the placements of a step that an event made or ended. */
    fun changed(stepId: StepId, before: StagedState, after: StagedState) {
        val job = before.active[stepId.jobId] ?: return
        val left = after.active[stepId.jobId]?.placedTasks(stepId) ?: 0
        val change = left - job.placedTasks(stepId)
        if (change != 0) add(job, stepId, change)
    }

    private fun add(job: StagedJob, stepId: StepId, count: Int) {
        val customerId = job.owner?.customerId ?: return
        val next = use(customerId).withTasks(job.spec.steps[stepId.step].perTask, count)
        if (next.tasks == 0) uses.remove(customerId) else uses[customerId] = next
    }

    private fun StagedJob.placedTasks(stepId: StepId): Int =
        step(stepId)?.tasks?.count { it.placement != null } ?: 0
}

/**
 * The customers' ceilings in one pass.
 *
 * Steps that go first claim what they are about to use. Otherwise the many waiting steps of a
 * customer near its ceiling would all call for advice and reserve workers, and few could start.
 */
internal class CeilingCheck(
    private val ledger: CustomerLedger,
    private val contracts: Map<CustomerId, Contract>
) {
    private val claims = HashMap<CustomerId, CustomerUse>()
    private val favored = HashMap<CustomerId, ReadyStep>()

    /**
     * Number of waiting tasks of the step that may start; of a gang, all or none. If the customer
     * uses under half of its ceiling, a step that goes ahead ignores what others are to use later.
     */
    fun tasksAllowed(step: ReadyStep): Int {
        val waiting = step.waiting.size
        val contract = step.customerId?.let(contracts::get) ?: return waiting
        val use = ledger.use(contract.customerId)
        val isIdle = use.allows(contract, use.held, use.tasks)
        val kept = favored[contract.customerId]
            ?.takeIf { it.id != step.id && !(isIdle && step.endsHolds) }
            ?.let { CustomerUse().withTasks(it.spec.perTask, it.waiting.size) }
        val claimed = claims[contract.customerId].takeIf { !(isIdle && step.goesAhead) }
        val planned = listOfNotNull(claimed, kept).fold(use) { sum, part -> sum + part }
        val allowed = planned.countAllowed(contract, step.spec.perTask, waiting)
        return if (step.spec.gang && allowed < waiting) 0 else allowed
    }

    /**
     * Keeps room below the ceiling for a gang that doesn't fit there now. Ignored for one that
     * needs more than the whole ceiling, which would hold back its customer in vain.
     */
    fun favor(gang: ReadyStep) {
        val contract = gang.customerId?.let(contracts::get) ?: return
        val need = gang.spec.perTask * gang.waiting.size
        if (CustomerUse().allows(contract, need, gang.waiting.size)) {
            favored[contract.customerId] = gang
        }
    }

    /** Counts [tasks] of the step as about to start. */
    fun claim(step: ReadyStep, tasks: Int) {
        val customerId = step.customerId ?: return
        val before = claims[customerId] ?: CustomerUse()
        claims[customerId] = before.withTasks(step.spec.perTask, tasks)
    }

    /** The customer's use and ceiling for the log, or null when it has no ceiling. */
    fun facts(step: ReadyStep): CeilingFacts? {
        val contract = step.customerId?.let(contracts::get) ?: return null
        return CeilingFacts(
            contract.customerId,
            ledger.use(contract.customerId).held,
            claims[contract.customerId]?.held ?: Resources(),
            contract.ceiling
        )
    }
}

internal val ReadyStep.customerId: CustomerId? get() = job.owner?.customerId
