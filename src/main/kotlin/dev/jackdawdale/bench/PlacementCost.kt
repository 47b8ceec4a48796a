package dev.jackdawdale.bench

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskResult
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.encode
import dev.jackdawdale.model.plus
import dev.jackdawdale.model.taskId
import dev.jackdawdale.placement.PlacementState
import dev.jackdawdale.placement.observe
import dev.jackdawdale.placement.place
import dev.jackdawdale.placement.placementState
import dev.jackdawdale.recovery.TaskRecoveryState
import dev.jackdawdale.recovery.decideTick
import dev.jackdawdale.recovery.observe
import dev.jackdawdale.recovery.taskRecoveryState
import kotlin.random.Random

private const val MEASURE = "placement-cost"
private const val SAMPLES = 4_000
private const val WARM_UP = 4_000
private const val NS_PER_MS = 1e6
private const val FILL_CUSTOMERS = 88

private data class CostCase(
    val name: String,
    val workers: Int,
    val runningTasks: Int,
    val waitingJobs: Int
)

private val cases = listOf(
    CostCase("30 workers, 0 waiting", 30, 600, 0),
    CostCase("30 workers, 1000 waiting", 30, 600, 1_000),
    CostCase("30 workers, 10000 waiting", 30, 600, 10_000),
    CostCase("675 workers, 7750 running", 675, 7_750, 1_000),
    CostCase("2700 workers, 31000 running, 0 waiting", 2_700, 31_000, 0),
    CostCase("2700 workers, 31000 running, 1000 waiting", 2_700, 31_000, 1_000),
    CostCase("2700 workers, 31000 running, 10000 waiting", 2_700, 31_000, 10_000)
)

/** Measures the time of single placement decisions in full cells, and the size of their state. */
internal fun measurePlacementCost(seed: Long, report: (Figure) -> Unit) {
    for (case in cases) {
        val heapBefore = usedHeapMib()
        val cell = CostCell(case, Random(seed))
        report(Figure(MEASURE, case.name, usedHeapMib() - heapBefore, "MiB heap", seed))
        val mib = cell.state.encode().size / 1024.0 / 1024.0
        report(Figure(MEASURE, case.name, mib, "MiB snapshot", seed))
        repeat(WARM_UP) { cell.placeOne() }
        val samples = List(SAMPLES) { cell.placeOne() }
        for (kind in JobKind.entries) {
            val sorted = samples.filter { it.kind == kind }.map { it.millis }.sorted()
            val name = "${case.name}, ${kind.name.lowercase()}"
            report(Figure(MEASURE, name, quantile(sorted, 0.5), "ms p50", seed))
            report(Figure(MEASURE, name, quantile(sorted, 0.99), "ms p99", seed))
        }
        val ticks = List(200) { cell.tick() }.sorted()
        report(Figure(MEASURE, case.name, quantile(ticks, 0.5), "ms tick p50", seed))
        report(Figure(MEASURE, case.name, quantile(ticks, 0.99), "ms tick p99", seed))
    }
}

private fun usedHeapMib(): Double {
    repeat(3) { System.gc() }
    val runtime = Runtime.getRuntime()
    return (runtime.totalMemory() - runtime.freeMemory()) / 1024.0 / 1024.0
}

private data class CostSample(val kind: JobKind, val millis: Double)

/** A cell full of running tasks, with waiting jobs that fit nowhere. */
private class CostCell(case: CostCase, private val random: Random) {
    var state = CellState()
    private var placement: PlacementState = placementState(state, 0)
    private var recovery: TaskRecoveryState = taskRecoveryState(state, 0)
    private var nowMs = 0L
    private var number = 0

    init {
        val workers = benchWorkers(case.workers, 256, 8) { number ->
            if (number % 5 < 2) number % 5 + 3L else 0L
        }
        workers.forEach { append(Event.WorkerJoined(it)) }
        val total = workers.fold(Resources()) { sum, info -> sum + info.capacity }
        benchCustomers(FILL_CUSTOMERS, total).forEach(::append)
        while (state.tasks.size < case.runningTasks) {
            val kind = if (random.nextInt(5) == 0) JobKind.SERVICE else JobKind.BATCH
            submit(kind, 10, random.taskSize())
            placeAll()
        }
        repeat(case.waitingJobs) {
            submit(JobKind.BATCH, 1, Resources(64_000, 200_000 - it % 1_000 * 100L))
        }
        placeAll()
    }

    /** Times the placement of one new job, then removes its tasks. */
    fun placeOne(): CostSample {
        nowMs++
        val kind = JobKind.entries[number % JobKind.entries.size]
        val count = if (kind == JobKind.GANG) 16 else 1
        val spec = submit(kind, count, random.taskSize())
        val begin = System.nanoTime()
        val decision = place(state, placement, nowMs, 1)
        val millis = (System.nanoTime() - begin) / NS_PER_MS
        placement = decision.placement
        decision.events.forEach(::append)
        for (index in 0 until count) {
            val id = taskId(spec.workId, index)
            val token = state.tasks[id]?.placement?.token ?: continue
            append(Event.TaskEnded(id, token, TaskResult.STOPPED))
        }
        append(Event.JobEnded(spec.workId, Outcome.Succeeded))
        return CostSample(kind, millis)
    }

    fun tick(): Double {
        nowMs += 1
        val begin = System.nanoTime()
        recovery = decideTick(state, recovery, nowMs).recovery
        return (System.nanoTime() - begin) / NS_PER_MS
    }

    private fun submit(kind: JobKind, count: Int, size: Resources) = benchJob(
        number,
        number++ % FILL_CUSTOMERS,
        kind,
        count,
        size,
        if (kind == JobKind.SERVICE) null else 3_600_000
    ).also { append(Event.JobAccepted(it, 1)) }

    private fun placeAll() {
        while (true) {
            val decision = place(state, placement, nowMs, 1_000)
            placement = decision.placement
            decision.events.forEach(::append)
            if (decision.events.isEmpty()) return
        }
    }

    private fun append(event: Event) {
        val before = state
        state = before.apply(event, nowMs)
        placement = placement.observe(event, before, state, nowMs)
        recovery = recovery.observe(event, before, state, nowMs)
    }
}
