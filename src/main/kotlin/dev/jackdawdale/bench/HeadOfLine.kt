package dev.jackdawdale.bench

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.routing.RoutingSettings
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val WARM_UP_MS = 20_000L
private const val UNTIL_MS = 80_000L
private const val CHECKS_PER_SEC = 500.0
private const val BURST_EVERY_MS = 5_000L
private const val BURST_MS = 200L
private const val LONG_BACKLOG = 500
private const val LONG_PER_SEC = 45.0
private const val ROUNDS = 3

internal fun benchContract(customer: String, ratePerSec: Int = 100_000): Contract = Contract(
    customerId = CustomerId(customer),
    version = 1,
    ceiling = Resources(),
    maxRunningTasks = 0,
    maxRunningRequests = 10_000,
    requestRatePerSec = ratePerSec,
    requestBurst = ratePerSec,
    maxQueuedRequests = 100_000,
    maxQueuedJobs = 0
)

/** A burst that the cell's slots can take, and one that has to wait even without long runs. */
private val burstSizes = mapOf("burst-300" to 300, "burst-2000" to 2_000)

private val counters = listOf("counter-1", "counter-2", "counter-3", "counter-4")
private val builders = listOf("builder-1", "builder-2", "builder-3")
private val contracts = (counters + builders).map { benchContract(it) }

/** Declared run times are wrong by a factor of up to 10 in either direction. */
private fun Random.declared(runTimeMs: Long): Long =
    (runTimeMs * 10.0.pow(nextDouble(-1.0, 1.0))).toLong()

internal fun Random.exponential(mean: Double): Double = -mean * ln(1.0 - nextDouble())

/** Heavy-tailed: Pareto with shape 1.5, capped at 200 times the minimum. */
private fun Random.pareto(minimum: Double): Double =
    minimum * minOf((1.0 - nextDouble()).pow(-1.0 / 1.5), 200.0)

/** A check takes about 40 ms; one in a hundred takes 50 times as long. */
private fun Random.checkMs(): Long {
    val usual = 30.0 * exp(0.5 * (nextDouble() + nextDouble() + nextDouble() - 1.5)) + 8.0
    return (if (nextInt(100) == 0) usual * 50 else usual).toLong()
}

private fun shortArrivals(random: Random, burstChecks: Int): List<Pair<Long, String>> = buildList {
    var atMs = 0.0
    while (atMs < UNTIL_MS) {
        atMs += random.exponential(1_000.0 / CHECKS_PER_SEC)
        add(atMs.toLong() to counters.random(random))
    }
    for (burstMs in BURST_EVERY_MS until UNTIL_MS step BURST_EVERY_MS) {
        repeat(burstChecks) {
            add(burstMs + random.nextLong(BURST_MS) to counters.random(random))
        }
    }
}

private fun longArrivals(random: Random): List<Pair<Long, String>> = buildList {
    repeat(LONG_BACKLOG) { add(0L to builders.random(random)) }
    var atMs = 0.0
    while (atMs < UNTIL_MS) {
        atMs += random.exponential(1_000.0 / LONG_PER_SEC)
        add(atMs.toLong() to builders.random(random))
    }
}

private fun workload(seed: Long, burstChecks: Int, withLong: Boolean): List<RequestRun> {
    val random = Random(seed)
    val checks = shortArrivals(random, burstChecks).map { (atMs, customer) ->
        val runTimeMs = random.checkMs()
        requestRun(0, customer, "check", atMs, runTimeMs, declaredMs = random.declared(runTimeMs))
    }
    val longRuns = longArrivals(random).map { (atMs, customer) ->
        val runTimeMs = random.pareto(2_000.0).toLong()
        val kind = "nest-${random.nextInt(4)}"
        requestRun(0, customer, kind, atMs, runTimeMs, declaredMs = random.declared(runTimeMs))
    }
    val all = if (withLong) checks + longRuns else checks
    return all.sortedBy { it.arrivesMs }.mapIndexed { index, run ->
        requestRun(
            index,
            run.spec.customerId.value,
            run.spec.kind,
            run.arrivesMs,
            run.runTimeMs,
            declaredMs = run.spec.declaredRunTimeMs
        )
    }
}

private val variants: Map<String, () -> RequestPolicy> = mapOf(
    "size-classes" to { CellPolicy(contracts, RoutingSettings()) },
    "fixed-quarter" to { CellPolicy(contracts, RoutingSettings(longMaxShareFloor = 0.75)) },
    "least-half" to { CellPolicy(contracts, RoutingSettings(longMaxShareFloor = 0.5)) },
    "first-come" to { FirstComePolicy() },
    "round-robin" to { roundRobin() },
    "predictive" to { predictive() }
)

/** Measures the waits of short checks with long runs in the cell, and of the checks alone. */
internal fun headOfLine(seed: Long, report: (Figure) -> Unit) {
    val rounds = (0 until ROUNDS).flatMap { round -> burstSizes.map { seed + round to it } }
    for ((roundSeed, burst) in rounds) {
        val alone = workload(roundSeed, burst.value, withLong = false)
        val mixed = workload(roundSeed, burst.value, withLong = true)
        for ((name, policy) in variants) {
            val without = checkWaits(simulate(alone, policy(), UNTIL_MS)).quantile(0.99)
            val times = simulate(mixed, policy(), UNTIL_MS)
            headOfLineFigures(times, without, "$name-${burst.key}", roundSeed).forEach(report)
        }
    }
}

private fun checkWaits(times: List<RequestTimes>): List<Long> = times
    .filter { it.run.arrivesMs >= WARM_UP_MS && it.run.spec.kind == "check" }
    // A check that never started has waited at least until the end.
    .map { it.waitMs ?: (UNTIL_MS - it.run.arrivesMs) }

private fun headOfLineFigures(
    times: List<RequestTimes>,
    p99WithoutLong: Double,
    variant: String,
    seed: Long
): List<Figure> {
    val waits = checkWaits(times)
    val heldMs = times.sumOf { heldWithinMs(it) }
    val busy = heldMs.toDouble() / (BENCH_CAPACITY * (UNTIL_MS - WARM_UP_MS))
    fun figure(name: String, value: Double, unit: String) =
        Figure("head-of-line.$name", variant, value, unit, seed)
    return listOf(
        figure("wait-p50", waits.quantile(0.5), "ms"),
        figure("wait-p99", waits.quantile(0.99), "ms"),
        figure("wait-p99.9", waits.quantile(0.999), "ms"),
        figure("wait-p99-without-long", p99WithoutLong, "ms"),
        figure("busy", busy, "of-capacity")
    )
}

private fun heldWithinMs(times: RequestTimes): Long {
    val startMs = times.startMs ?: return 0
    val from = maxOf(startMs, WARM_UP_MS)
    val to = minOf(startMs + times.run.runTimeMs, UNTIL_MS)
    return maxOf(to - from, 0)
}
