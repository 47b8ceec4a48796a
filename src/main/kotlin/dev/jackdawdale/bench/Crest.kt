package dev.jackdawdale.bench

import dev.jackdawdale.model.Contract
import dev.jackdawdale.routing.RoutingSettings
import kotlin.random.Random

private const val PEAK_START_MS = 20_000L
private const val PEAK_END_MS = 40_000L
private const val END_MS = 90_000L
private const val RUN_MS = 100.0
private const val DEADLINE_MS = 2_000L
private const val STEADY_PER_SEC = 400
private const val PEAK_CUSTOMER_PER_SEC = 400
private const val PEAK_FACTOR = 10
private const val BUCKET_MS = 1_000L
private const val ROUNDS = 3

/** Five customers stay within their contracts; one sends ten times its usual rate at the peak. */
private val steadyCustomers = (1..5).map { "shop-$it" }
private const val PEAK_CUSTOMER = "promotion"

private val peakContracts: List<Contract> = steadyCustomers.map {
    benchContract(it, ratePerSec = 500)
} + benchContract(PEAK_CUSTOMER, ratePerSec = 500_000).copy(maxQueuedRequests = 20_000)

private fun peakWorkload(seed: Long): List<RequestRun> {
    val random = Random(seed)
    val all = mutableListOf<Pair<Long, String>>()
    for (customer in steadyCustomers) {
        var atMs = 0.0
        while (atMs < END_MS) {
            atMs += random.exponential(1_000.0 / (STEADY_PER_SEC / steadyCustomers.size))
            all += atMs.toLong() to customer
        }
    }
    var atMs = 0.0
    while (atMs < END_MS) {
        val isPeak = atMs.toLong() in PEAK_START_MS..PEAK_END_MS
        val perSec = PEAK_CUSTOMER_PER_SEC * (if (isPeak) PEAK_FACTOR else 1)
        atMs += random.exponential(1_000.0 / perSec)
        all += atMs.toLong() to PEAK_CUSTOMER
    }
    return all.sortedBy { it.first }.mapIndexed { index, (arrivesMs, customer) ->
        val runTimeMs = (RUN_MS * (0.5 + random.nextDouble())).toLong()
        requestRun(index, customer, "proof", arrivesMs, runTimeMs, DEADLINE_MS)
    }
}

private val peakVariants: Map<String, () -> RequestPolicy> = mapOf(
    "size-classes" to { CellPolicy(peakContracts, RoutingSettings()) },
    "late-factor-0.5" to { CellPolicy(peakContracts, RoutingSettings(lateFactor = 0.5)) },
    "first-come" to { FirstComePolicy() },
    "round-robin" to { roundRobin() }
)

/** Measures `crest`: the demand of one customer rises tenfold within a second, for 20 s. */
internal fun demandPeak(seed: Long, report: (Figure) -> Unit) {
    for (roundSeed in seed until seed + ROUNDS) {
        val arrivals = peakWorkload(roundSeed)
        for ((name, policy) in peakVariants) {
            val times = simulate(arrivals, policy(), END_MS)
            peakFigures(times, name, roundSeed).forEach(report)
        }
    }
}

private fun RequestTimes.isUseful(): Boolean = endMs != null && endMs <= run.arrivesMs + DEADLINE_MS

private fun peakFigures(times: List<RequestTimes>, variant: String, seed: Long): List<Figure> {
    val peakMs = PEAK_END_MS - PEAK_START_MS
    val ended = times.filter { it.endMs != null && it.endMs in PEAK_START_MS..PEAK_END_MS }
    val useful = ended.filter { it.isUseful() }.sumOf { it.run.runTimeMs }
    val steady = times.filter {
        it.run.arrivesMs in PEAK_START_MS..PEAK_END_MS &&
            it.run.spec.customerId.value != PEAK_CUSTOMER
    }
    fun figure(name: String, value: Double, unit: String) =
        Figure("crest.$name", variant, value, unit, seed)
    return listOf(
        figure("useful", useful.toDouble() / (BENCH_CAPACITY * peakMs), "of-capacity"),
        figure("inside-served", steady.share { it.isUseful() }, "of-contracted"),
        figure("inside-wait-p99", steady.mapNotNull { it.waitMs }.quantile(0.99), "ms"),
        figure("back-to-normal", backToNormalMs(times).toDouble(), "ms")
    )
}

private fun List<RequestTimes>.share(matches: (RequestTimes) -> Boolean): Double =
    if (isEmpty()) 0.0 else count(matches).toDouble() / size

/** Time from the end of the peak to the first second in which 99% of the arrivals are useful. */
private fun backToNormalMs(times: List<RequestTimes>): Long {
    val after = times.filter { it.run.arrivesMs >= PEAK_END_MS }
        .groupBy { (it.run.arrivesMs - PEAK_END_MS) / BUCKET_MS }
    val lastSecond = (END_MS - PEAK_END_MS - DEADLINE_MS) / BUCKET_MS
    val normal = (0 until lastSecond).firstOrNull { second ->
        after[second].orEmpty().share { it.isUseful() } >= 0.99
    }
    return (normal ?: lastSecond) * BUCKET_MS
}
