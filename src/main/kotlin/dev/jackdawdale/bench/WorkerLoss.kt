package dev.jackdawdale.bench

import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.plus
import kotlin.random.Random

private const val MEASURE = "worker-loss"
private const val STEP_MS = 100L
private const val CUSTOMERS = 88
private const val LIMIT_MS = 120_000L
private const val NS_PER_MS = 1e6
private const val DOMAINS = 8
private const val LONG_MS = 100_000_000L

/** Measures how long the tasks of a lost failure domain take to run again, and the step time. */
internal fun measureWorkerLoss(seed: Long, report: (Figure) -> Unit) {
    for ((workers, tasks) in listOf(30 to 350, 2_700 to 31_000)) {
        val variant = "$workers workers, $tasks tasks"
        val run = LossRun(workers, tasks, seed)
        run.fill()
        val lost = run.loseDomain()
        val tookMs = run.recover()
        val costs = run.costs.sorted()
        report(Figure(MEASURE, variant, lost.toDouble(), "tasks lost", seed))
        report(Figure(MEASURE, variant, tookMs.toDouble(), "ms until all run again", seed))
        report(Figure(MEASURE, variant, quantile(costs, 0.5), "ms step p50", seed))
        report(Figure(MEASURE, variant, costs.last(), "ms step max", seed))
    }
}

private class LossRun(workerCount: Int, private val taskCount: Int, seed: Long) {
    private val random = Random(seed)
    private val infos = benchWorkers(workerCount, 256, DOMAINS)
    private val cell = VirtualCell(
        VirtualCellSettings(placeLimit = 200),
        plan = { _, order -> RunPlan(LONG_MS, order.resources) }
    )
    private var number = 0
    val costs = mutableListOf<Double>()

    fun fill() {
        infos.forEach(cell::addWorker)
        val total = infos.fold(Resources()) { sum, info -> sum + info.capacity }
        benchCustomers(CUSTOMERS, total).forEach(cell::append)
        while (cell.state.tasks.size < taskCount) submit()
        while (running() < cell.state.tasks.size) cell.step(STEP_MS)
    }

    private fun submit() {
        val service = number % 5 == 0
        val kind = if (service) JobKind.SERVICE else JobKind.BATCH
        val limitMs = if (service) null else LONG_MS * 2
        val spec = benchJob(number, number % CUSTOMERS, kind, 5, random.taskSize(), limitMs)
        number++
        cell.append(Event.JobAccepted(spec, 1))
    }

    fun loseDomain(): Int {
        val domain = infos.first().failureDomain
        val lost = cell.workers.values.filter { it.info.failureDomain == domain }
        lost.forEach { it.silent = true }
        return lost.sumOf { cell.state.workers.getValue(it.info.workerId).taskIds.size }
    }

    /** Steps until all tasks run again; returns the time, which includes the lease expiry. */
    fun recover(): Long {
        val beginMs = cell.nowMs
        var lossDetected = false
        while (cell.nowMs - beginMs < LIMIT_MS) {
            val begin = System.nanoTime()
            cell.step(STEP_MS)
            costs += (System.nanoTime() - begin) / NS_PER_MS
            val all = running() == cell.state.tasks.size
            if (!all) lossDetected = true
            if (lossDetected && all) break
        }
        return cell.nowMs - beginMs
    }

    private fun running() = cell.state.tasks.values.count { it.phase == TaskPhase.RUNNING }
}
