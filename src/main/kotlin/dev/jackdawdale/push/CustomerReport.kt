package dev.jackdawdale.push

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.placement.dominantShare
import dev.jackdawdale.staged.JobOutcome
import dev.jackdawdale.staged.StagedJob
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger

/** Number of customers in each line about the load. */
private const val LOGGED_CUSTOMERS = 5

/** The state of all customers, those with the most waiting steps first. */
internal fun customerStatus(
    contracts: Map<CustomerId, Contract>,
    ledger: CustomerLedger,
    waiting: Map<CustomerId, Map<WaitReason, Int>>,
    total: Resources
): List<CustomerStatus> = contracts.values.map { contract ->
    val use = ledger.use(contract.customerId)
    CustomerStatus(
        contract.customerId,
        use.tasks,
        dominantShare(use.held, total) / maxOf(contract.weight, 1),
        dominantShare(use.held, contract.ceiling),
        waiting[contract.customerId].orEmpty()
    )
}.sortedByDescending { it.waiting.values.sum() }

/** Reports the customers' state of a leader to its metrics and log. */
internal class CustomerReport(
    private val ledger: CustomerLedger,
    private val meters: CustomerMeters,
    private val log: Logger = LogManager.getLogger("dev.jackdawdale.push")
) {
    private val onTime = OnTimeShares()
    private var customers: List<CustomerStatus> = emptyList()
    private var atCeiling: Set<CustomerId> = emptySet()

    /** Updates the metrics by the waiting steps of each customer. */
    fun update(
        contracts: Map<CustomerId, Contract>,
        waiting: Map<CustomerId, Map<WaitReason, Int>>,
        total: Resources,
        nowMs: Long
    ) {
        if (contracts.isEmpty() && customers.isEmpty()) return
        customers = customerStatus(contracts, ledger, waiting, total)
        logCeilings()
        meters.set(customers, onTime.worstTenth(nowMs))
    }

    /** Records the end of [job], given as it was before. */
    fun jobEnded(job: StagedJob, outcome: JobOutcome, nowMs: Long) {
        val customerId = job.owner?.customerId ?: return
        if (job.beyondRate || outcome == JobOutcome.CANCELLED) return
        onTime.record(customerId, nowMs - job.acceptedAtMs <= job.objectiveMs(), nowMs)
    }

    /** Logs when steps of a customer begin or cease to wait for its ceiling. */
    private fun logCeilings() {
        val now = customers.filter { WaitReason.CEILING in it.waiting }
        val ids = now.mapTo(HashSet()) { it.customerId }
        now.filter { it.customerId !in atCeiling }.take(LOGGED_CUSTOMERS).forEach {
            log.info("customer {} reaches its ceiling: {}", it.customerId, it.describe())
        }
        (atCeiling - ids).take(LOGGED_CUSTOMERS).forEach {
            log.info("no step of customer {} waits for its ceiling any more", it)
        }
        atCeiling = ids
    }

    /** Logs the customers with the most waiting steps. */
    fun logLoad(nowMs: Long) {
        if (customers.isEmpty()) return
        val busiest = customers.filter { it.waiting.isNotEmpty() }.take(LOGGED_CUSTOMERS)
            .joinToString("; ") { "${it.customerId} ${it.describe()}" }
        log.info(
            "{} customers, on-time share of the worst tenth {}: {}",
            customers.size,
            "%.2f".format(onTime.worstTenth(nowMs)),
            busiest.ifEmpty { "nothing waits" }
        )
    }

    private fun CustomerStatus.describe(): String {
        val reasons = waiting.entries.sortedBy { it.key }
            .joinToString { "${it.value} ${it.key.name.lowercase()}" }
        val used = "%.2f".format(ceilingUsed)
        return "$running tasks, share ${"%.4f".format(share)}, $used of the ceiling, " +
            "${waiting.values.sum()} steps waiting ($reasons)"
    }
}
