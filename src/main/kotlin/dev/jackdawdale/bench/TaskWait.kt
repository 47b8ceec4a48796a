package dev.jackdawdale.bench

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkerOrder
import dev.jackdawdale.model.plus
import kotlin.random.Random

private const val MEASURE = "task-wait"
private const val RUN_MS = 600_000L
private const val STEP_MS = 20L
private const val CUSTOMERS = 8
private const val MAX_RUN_MS = 300_000L

/** Mean CPU demand relative to the cell; slightly above 1, so that work waits. */
private const val LOAD = 1.05

private data class Site(val name: String, val memoryGib: Long)

private val sites = listOf(Site("paneveli", 256), Site("tarapati", 128))

/** Measures the wait before the first start of tasks, with and without urgency and preemption. */
internal fun measureTaskWait(seed: Long, report: (Figure) -> Unit) {
    for (site in sites) {
        for (variant in listOf("policy", "first-fit")) {
            val placer = if (variant == "policy") VirtualCellSettings().placer else ::placeFirstFit
            val waits = WaitRun(site.memoryGib, placer, seed).run()
            for (urgency in Urgency.entries) {
                val name = "${site.name} $variant ${urgency.name.lowercase()}"
                val sorted = waits[urgency].orEmpty().sorted()
                report(Figure(MEASURE, name, sorted.size.toDouble(), "tasks", seed))
                report(Figure(MEASURE, name, quantile(sorted, 0.5), "ms p50", seed))
                report(Figure(MEASURE, name, quantile(sorted, 0.99), "ms p99", seed))
                report(Figure(MEASURE, name, quantile(sorted, 0.999), "ms p99.9", seed))
            }
        }
    }
}

/** Random arrivals at one cell for ten virtual minutes. */
private class WaitRun(memoryGib: Long, placer: Placer, seed: Long) {
    private val random = Random(seed)
    private val runRandom = Random(seed + 1)
    private val started = mutableSetOf<TaskId>()
    private val waits = mutableMapOf<Urgency, MutableList<Double>>()
    private val infos = benchWorkers(30, memoryGib, 3)
    private val cell = VirtualCell(
        VirtualCellSettings(placer = placer),
        plan = { _, order -> plan(order) },
        observer = ::recordWait
    )
    private var number = 0

    fun run(): Map<Urgency, List<Double>> {
        infos.forEach(cell::addWorker)
        val total = infos.fold(Resources()) { sum, info -> sum + info.capacity }
        benchCustomers(CUSTOMERS, total).forEach(cell::append)
        var credit = 0.0
        // Sampled mean of size times run time (Pareto with shape 1.3, from 2 s to 300 s).
        val draw = Random(0)
        val meanWork = List(20_000) {
            draw.taskSize().cpuMillis * draw.heavyTailMs(2_000, MAX_RUN_MS).toDouble()
        }.average()
        val tasksPerMs = LOAD * total.cpuMillis / meanWork
        while (cell.nowMs < RUN_MS) {
            credit += tasksPerMs * STEP_MS * random.nextDouble() * 2
            while (credit >= 1) credit -= submit()
            cell.step(STEP_MS)
        }
        return waits
    }

    private fun submit(): Int {
        val urgency = when (random.nextInt(20)) {
            0 -> Urgency.URGENT
            in 1..13 -> Urgency.NORMAL
            else -> Urgency.DEFERRABLE
        }
        val count = random.nextInt(1, 8)
        val customer = random.nextInt(CUSTOMERS)
        val size = random.taskSize()
        val spec =
            benchJob(number++, customer, JobKind.BATCH, count, size, MAX_RUN_MS * 2, urgency)
        cell.append(Event.JobAccepted(spec, 1))
        return count
    }

    private fun plan(order: WorkerOrder.Start) =
        RunPlan(runRandom.heavyTailMs(2_000, MAX_RUN_MS), order.resources)

    private fun recordWait(event: Event, before: CellState, nowMs: Long) {
        if (event !is Event.TaskStarted || !started.add(event.taskId)) return
        val task = before.tasks[event.taskId] ?: return
        val job = before.jobs.getValue(task.workId)
        val waitedMs = (nowMs - job.acceptedAtMs).toDouble()
        waits.getOrPut(job.spec.urgency) { mutableListOf() } += waitedMs
    }
}
