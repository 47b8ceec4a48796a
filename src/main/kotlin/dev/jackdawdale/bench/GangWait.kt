package dev.jackdawdale.bench

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.plus
import dev.jackdawdale.placement.PlacementSettings
import kotlin.random.Random

private const val MEASURE = "gang"
private const val RUN_MS = 300_000L
private const val STEP_MS = 50L
private const val GANG_EVERY_MS = 15_000L
private const val GANG_TASKS = 64
private const val CUSTOMERS = 8
private const val BACKLOG_JOBS = 400

/** Measures how long gangs wait while there is always a backlog of batch work. */
internal fun measureGang(seed: Long, report: (Figure) -> Unit) {
    val variants = listOf(
        "reservation" to PlacementSettings(),
        "no reservation" to PlacementSettings(maxReservations = 0)
    )
    for ((name, settings) in variants) {
        val run = GangRun(settings, seed)
        run.run()
        val waits = run.waits.sorted()
        report(Figure(MEASURE, name, run.gangs.toDouble(), "gangs submitted", seed))
        report(Figure(MEASURE, name, waits.size.toDouble(), "gangs started", seed))
        report(Figure(MEASURE, name, quantile(waits, 0.5), "ms p50", seed))
        report(Figure(MEASURE, name, waits.lastOrNull() ?: 0.0, "ms max", seed))
        report(Figure(MEASURE, name, run.utilization() * 100, "% of processors busy", seed))
    }
}

private class GangRun(placement: PlacementSettings, seed: Long) {
    private val random = Random(seed)
    private val runRandom = Random(seed + 1)
    private val started = mutableSetOf<WorkId>()
    private val infos = benchWorkers(30, 256, 3)
    private val total = infos.fold(Resources()) { sum, info -> sum + info.capacity }
    private var number = 0
    private var utilizationSum = 0.0
    private var steps = 0
    private val cell = VirtualCell(
        VirtualCellSettings(placement = placement),
        plan = { _, order -> RunPlan(runRandom.heavyTailMs(5_000, 60_000), order.resources) },
        observer = ::recordWait
    )
    val waits = mutableListOf<Double>()
    var gangs = 0

    fun utilization(): Double = utilizationSum / steps

    fun run() {
        infos.forEach(cell::addWorker)
        benchCustomers(CUSTOMERS, total).forEach(cell::append)
        var nextGangMs = GANG_EVERY_MS
        while (cell.nowMs < RUN_MS) {
            while (cell.placement.waiting.jobs.size < BACKLOG_JOBS) submitBatch()
            if (cell.nowMs >= nextGangMs) {
                nextGangMs += GANG_EVERY_MS
                submitGang()
            }
            cell.step(STEP_MS)
            val used = cell.state.workers.values.sumOf { it.allocated.cpuMillis }
            utilizationSum += used.toDouble() / total.cpuMillis
            steps++
        }
    }

    private fun submitBatch() {
        val size = random.taskSize()
        val customer = random.nextInt(CUSTOMERS)
        submit(benchJob(number++, customer, JobKind.BATCH, 1, size, 60_000))
    }

    private fun submitGang() {
        gangs++
        val size = Resources(4_000, 8_192)
        submit(benchJob(number++, gangs % CUSTOMERS, JobKind.GANG, GANG_TASKS, size, 60_000))
    }

    private fun submit(spec: JobSpec) = cell.append(Event.JobAccepted(spec, 1))

    private fun recordWait(event: Event, before: CellState, nowMs: Long) {
        if (event !is Event.TaskStarted) return
        val workId = before.tasks[event.taskId]?.workId ?: return
        val job = before.jobs.getValue(workId)
        if (job.spec.kind != JobKind.GANG || !started.add(workId)) return
        waits += (nowMs - job.acceptedAtMs).toDouble()
    }
}
