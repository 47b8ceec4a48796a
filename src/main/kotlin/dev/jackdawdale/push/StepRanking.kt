package dev.jackdawdale.push

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.plus

/** Ranks the waiting steps of each pass, and holds back those beyond their customer's rate. */
internal class StepRanking(
    private val context: LeaderContext,
    private val ledger: CustomerLedger,
    private val order: StepOrder
) {
    private val gate = BeyondRateGate()

    /** Whether useful steps lacked workers or calls in the last pass. */
    var lacked = false

    /** The [waiting] steps, the lowest rank first. */
    fun ranked(
        waiting: List<ReadyStep>,
        contracts: Map<CustomerId, Contract>,
        ceilings: CeilingCheck,
        nowMs: Long
    ): List<RankedStep> {
        val hasCustomers = contracts.isNotEmpty()
        val others = if (hasCustomers) {
            waiting.filter { it.isUsefulAt(nowMs) && ceilings.tasksAllowed(it) > 0 }
        } else {
            emptyList()
        }
        gate.observe(others.isNotEmpty(), nowMs)
        val above = if (lacked && hasCustomers) above(others, contracts) else emptySet()
        val inputs = OrderInputs(nowMs, hasCustomers, above)
        return waiting.map { RankedStep(it, order(it, inputs)) }.sortedBy { it.rank }
    }

    private fun above(
        others: List<ReadyStep>,
        contracts: Map<CustomerId, Contract>
    ): Set<CustomerId> {
        val held = others.mapNotNullTo(HashSet()) { it.customerId }
            .associateWith { ledger.use(it).held }
        return aboveShare(held, contracts, context.totalCapacity())
    }

    /** Whether steps beyond their customer's rate are treated as all others. */
    fun isGateOpen(nowMs: Long): Boolean = gate.isOpen(nowMs)

    /** Whether a step beyond its customer's rate may use workers and calls now. */
    fun mayUseSpare(round: PlacementRound): Boolean {
        if (round.gateOpen) return true
        // One step per pass: each may fill the spare part of the cell.
        if (round.othersLack || round.spareUsed) return false
        // These steps go last, and the first that uses the spare part ends this: until then the
        // workers and hosts stay as they are, and a backlog has many such steps.
        return round.hasSpare ?: hasSpare(round).also { round.hasSpare = it }
    }

    private fun hasSpare(round: PlacementRound): Boolean {
        val hosts = context.dependencies.adviceHosts().size
        val idle = hosts - context.advice.callsInFlight - round.callsRequested
        val links = context.links.values
        val total = links.sumOf { it.worker.cpuMillis }.coerceAtLeast(1)
        return gate.isSpare(links.sumOf { it.free.cpuMillis }.toDouble() / total, idle, hosts)
    }
}

/** Whether the step is within its customer's rate and a start now is of use to the caller. */
internal fun ReadyStep.isUsefulAt(nowMs: Long): Boolean =
    !job.beyondRate && nowMs <= worthlessAfterMs

/** Capacity of all known workers. */
internal fun LeaderContext.totalCapacity(): Resources =
    links.values.fold(Resources()) { sum, link ->
        val worker = link.worker
        sum + Resources(worker.cpuMillis, worker.memoryMib, worker.accelerators)
    }
