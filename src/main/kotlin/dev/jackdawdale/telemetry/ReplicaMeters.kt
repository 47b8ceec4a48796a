package dev.jackdawdale.telemetry

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.composite.CompositeMeterRegistry

/** Metrics of the replicated log at one control host. */
internal class ReplicaMeters(registry: MeterRegistry = CompositeMeterRegistry()) {
    @Volatile
    private var quorumLost = false

    @Volatile
    private var toleratedLosses: Int? = null

    init {
        Gauge.builder("jackdawdale.quorum.lost") { if (quorumLost) 1 else 0 }
            .description("Whether too few control hosts have their disks to elect a leader")
            .register(registry)
        Gauge.builder("jackdawdale.tolerated.losses") { toleratedLosses?.toDouble() ?: Double.NaN }
            .description("Further control hosts that may be lost; NaN unless this host leads")
            .register(registry)
    }

    /** Whether too few control hosts have their disks for a leader to be elected. */
    fun setQuorumLost(lost: Boolean) {
        quorumLost = lost
    }

    /** How many more control hosts may be lost; null at a host that does not lead. */
    fun setToleratedLosses(losses: Int?) {
        toleratedLosses = losses
    }
}
