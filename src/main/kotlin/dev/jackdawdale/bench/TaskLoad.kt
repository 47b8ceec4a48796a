package dev.jackdawdale.bench

import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.JobKind
import dev.jackdawdale.model.JobSpec
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.WorkerInfo
import dev.jackdawdale.model.workId
import kotlin.math.pow
import kotlin.random.Random

private const val RACK_SIZE = 8
private const val MIB_PER_GIB = 1_024L

/** Workers with equal CPU and memory, spread over racks and failure domains. */
internal fun benchWorkers(
    count: Int,
    memoryGib: Long,
    domains: Int,
    accelerators: (Int) -> Long = { 0 }
): List<WorkerInfo> = List(count) { number ->
    WorkerInfo(
        workerId = WorkerId("w$number"),
        incarnation = 1,
        capacity = Resources(64_000, memoryGib * MIB_PER_GIB, accelerators(number)),
        rack = "r${number / RACK_SIZE}",
        failureDomain = FailureDomain("d${number % domains}")
    )
}

internal fun benchCustomers(count: Int, cell: Resources): List<Event.ContractChanged> =
    List(count) { number ->
        val contract = Contract(
            customerId = CustomerId("c$number"),
            version = 1,
            ceiling = cell,
            maxRunningTasks = 100_000,
            maxRunningRequests = 1,
            requestRatePerSec = 1,
            requestBurst = 1,
            maxQueuedRequests = 1,
            maxQueuedJobs = 100_000
        )
        Event.ContractChanged(ChangeId("contract-$number"), contract)
    }

private val cpuSizes = longArrayOf(500, 1_000, 2_000, 4_000, 8_000, 16_000)
private val cpuWeights = intArrayOf(20, 30, 25, 15, 8, 2)

/** Draws the size of a task: mostly small, with 1 to 6 GiB of memory per core. */
internal fun Random.taskSize(): Resources {
    var draw = nextInt(cpuWeights.sum())
    var index = 0
    while (draw >= cpuWeights[index]) draw -= cpuWeights[index++]
    val cpuMillis = cpuSizes[index]
    return Resources(cpuMillis, cpuMillis * MIB_PER_GIB * nextInt(1, 7) / 2 / 1_000)
}

/** Heavy-tailed run time (Pareto) from [minMs] to [maxMs]. */
internal fun Random.heavyTailMs(minMs: Long, maxMs: Long, shape: Double = 1.3): Long =
    minOf(maxMs, (minMs / (1.0 - nextDouble()).pow(1.0 / shape)).toLong())

internal fun benchJob(
    number: Int,
    customer: Int,
    kind: JobKind,
    taskCount: Int,
    perTask: Resources,
    timeLimitMs: Long?,
    urgency: Urgency = Urgency.NORMAL
): JobSpec {
    val customerId = CustomerId("c$customer")
    return JobSpec(
        workId = workId(customerId, "j$number"),
        customerId = customerId,
        kind = kind,
        perTask = perTask,
        taskCount = taskCount,
        timeLimitMs = timeLimitMs,
        urgency = urgency
    )
}

/** The value at the quantile [q] of sorted [values]. */
internal fun quantile(values: List<Double>, q: Double): Double =
    if (values.isEmpty()) 0.0 else values[((values.size - 1) * q).toInt()]
