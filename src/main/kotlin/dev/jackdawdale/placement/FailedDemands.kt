package dev.jackdawdale.placement

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.fitsInto

/** Demands without a suitable worker in this pass, so that larger ones are skipped. */
internal class FailedDemands {
    private val failed = mutableListOf<FailedDemand>()

    fun add(demand: Demand, count: Int = 1) {
        if (demand.avoided.isNotEmpty()) return
        failed += FailedDemand(demand.need, demand.endsByMs ?: Long.MAX_VALUE, count)
    }

    fun covers(demand: Demand, count: Int = 1): Boolean {
        val endsByMs = demand.endsByMs ?: Long.MAX_VALUE
        return failed.any {
            it.count <= count && it.endsByMs <= endsByMs && it.need.fitsInto(demand.need)
        }
    }
}

private data class FailedDemand(val need: Resources, val endsByMs: Long, val count: Int)
