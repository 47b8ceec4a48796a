package dev.jackdawdale.push

import dev.jackdawdale.model.CustomerId
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags

/** Customers with labels of their own; the others are counted together. */
internal const val MAX_CUSTOMER_LABELS = 50
private const val OTHERS = "(others)"

/**
 * A customer's state at the leader.
 *
 * @property running tasks that may be running
 * @property share dominant share of all workers, divided by the weight
 * @property ceilingUsed part of the ceiling that is in use; 0 without a ceiling
 */
internal data class CustomerStatus(
    val customerId: CustomerId,
    val running: Int,
    val share: Double,
    val ceilingUsed: Double,
    val waiting: Map<WaitReason, Int>
)

/**
 * Metrics by customer. The number of labels is bounded: those with the most running and waiting
 * work get their own.
 */
internal class CustomerMeters(private val registry: MeterRegistry) {
    private val running = gauge("running", "Tasks that may be running, by customer")
    private val share = gauge("share", "Dominant share of the workers, divided by the weight")
    private val ceilingUsed = gauge("ceiling.used", "Part of the ceiling in use; 0 without one")
    private val waiting = gauge("steps.waiting", "Waiting steps, by customer and reason")

    @Volatile
    private var worstTenth = 1.0

    init {
        Gauge.builder("jackdawdale.customer.worst.tenth.on.time") { worstTenth }
            .description("On-time share of the worst-served tenth of customers")
            .register(registry)
    }

    /** Replaces the state of all customers; empty at a replica that does not lead. */
    fun set(customers: List<CustomerStatus>, worstTenth: Double = 1.0) {
        this.worstTenth = worstTenth
        val sorted = customers.sortedByDescending { it.running + it.waiting.values.sum() }
        val named = sorted.take(MAX_CUSTOMER_LABELS).map { it.customerId.value to listOf(it) }
        val others = sorted.drop(MAX_CUSTOMER_LABELS)
        val groups = if (others.isEmpty()) named else named + (OTHERS to others)
        running.set(groups) { of -> of.sumOf { it.running }.toDouble() }
        share.set(groups) { of -> of.maxOf { it.share } }
        ceilingUsed.set(groups) { of -> of.maxOf { it.ceilingUsed } }
        waiting.register(
            groups.flatMap { (label, of) ->
                WaitReason.entries.mapNotNull { reason ->
                    val count = of.sumOf { it.waiting[reason] ?: 0 }
                    val tags = Tags.of("customer", label, "reason", reason.name.lowercase())
                    if (count == 0) null else MultiGauge.Row.of(tags, count)
                }
            },
            true
        )
    }

    private fun gauge(name: String, description: String): MultiGauge =
        MultiGauge.builder("jackdawdale.customer.$name").description(description).register(registry)

    private fun MultiGauge.set(
        groups: List<Pair<String, List<CustomerStatus>>>,
        value: (List<CustomerStatus>) -> Double
    ) = register(
        groups.map { (label, of) -> MultiGauge.Row.of(Tags.of("customer", label), value(of)) },
        true
    )
}
