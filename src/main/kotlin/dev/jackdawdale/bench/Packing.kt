package dev.jackdawdale.bench

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.plus
import dev.jackdawdale.placement.observe
import dev.jackdawdale.placement.placementState
import kotlin.random.Random

private const val MEASURE = "packing"
private const val CUSTOMERS = 8

/** Offered demand as a multiple of the cell; above 1, the placement decides what is left out. */
private const val OFFERED_DEMAND = 1.5

/**
 * Measures how much of the cell one burst of batch work fills. The bound of each dimension is
 * min(capacity, offered). The result is the fill of the fuller dimension relative to its bound,
 * since no more work fits when one dimension is used up.
 */
internal fun measurePacking(seed: Long, report: (Figure) -> Unit) {
    val placers = listOf("best-fit" to VirtualCellSettings().placer, "first-fit" to ::placeFirstFit)
    for (memoryGib in listOf(256L, 128L)) {
        for ((name, placer) in placers) {
            val cell = PackedCell(memoryGib, placer, Random(seed))
            val used = cell.fill()
            val cpu = used.cpuMillis.toDouble() / cell.bound.cpuMillis
            val memory = used.memoryMib.toDouble() / cell.bound.memoryMib
            val variant = "30 workers, $memoryGib GB, $name"
            report(Figure(MEASURE, variant, maxOf(cpu, memory) * 100, "% of bound", seed))
            report(Figure(MEASURE, variant, cpu * 100, "% of cpu bound", seed))
            report(Figure(MEASURE, variant, memory * 100, "% of memory bound", seed))
        }
    }
}

private class PackedCell(memoryGib: Long, private val placer: Placer, random: Random) {
    private val infos = benchWorkers(30, memoryGib, 3)
    private val total = infos.fold(Resources()) { sum, info -> sum + info.capacity }
    private var state = CellState()
    private var placement = placementState(state, 0)
    val bound: Resources

    init {
        infos.forEach { append(Event.WorkerJoined(it)) }
        benchCustomers(CUSTOMERS, total).forEach(::append)
        var offered = Resources()
        var number = 0
        while (offered.cpuMillis < total.cpuMillis * OFFERED_DEMAND) {
            val size = random.taskSize()
            offered += size
            val spec =
                benchJob(number, number % CUSTOMERS, JobKind.BATCH, 1, size, timeLimitMs = 60_000)
            number++
            append(Event.JobAccepted(spec, 1))
        }
        bound = Resources(
            minOf(total.cpuMillis, offered.cpuMillis),
            minOf(total.memoryMib, offered.memoryMib)
        )
    }

    fun fill(): Resources {
        while (true) {
            val decision = placer(state, placement, 0, 100)
            placement = decision.placement
            if (decision.events.isEmpty()) break
            decision.events.forEach(::append)
        }
        return state.workers.values.fold(Resources()) { sum, worker -> sum + worker.allocated }
    }

    private fun append(event: Event) {
        val before = state
        state = before.apply(event, 0)
        placement = placement.observe(event, before, state, 0)
    }
}
