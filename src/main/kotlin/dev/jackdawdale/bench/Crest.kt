package dev.jackdawdale.bench

import dev.jackdawdale.model.Contract
import dev.jackdawdale.routing.RoutingSettings
import kotlin.random.Random

private const val CREST_FROM_MS = 20_000L
private const val CREST_TO_MS = 40_000L
private const val CREST_UNTIL_MS = 90_000L
private const val RUN_MS = 100.0
private const val DEADLINE_MS = 2_000L
private const val INSIDE_PER_SEC = 400
private const val SWINGING_PER_SEC = 400
private const val CREST_FACTOR = 10
private const val BUCKET_MS = 1_000L
private const val CREST_ROUNDS = 3

/** Five customers stay inside their contracts; one asks for ten times its rate at the crest. */
private val inside = (1..5).map { "shop-$it" }
private const val SWINGING = "promotion"

private val crestContracts: List<Contract> = inside.map {
    benchContract(it, ratePerSec = 500)
} + benchContract(SWINGING, ratePerSec = 500_000).copy(maxQueuedRequests = 20_000)

private fun crestWorkload(seed: Long): List<RequestRun> {
    val random = Random(seed)
    val all = mutableListOf<Pair<Long, String>>()
    for (customer in inside) {
        var atMs = 0.0
        while (atMs < CREST_UNTIL_MS) {
            atMs += random.exponential(1_000.0 / (INSIDE_PER_SEC / inside.size))
            all += atMs.toLong() to customer
        }
    }
    var atMs = 0.0
    while (atMs < CREST_UNTIL_MS) {
        val isCrest = atMs.toLong() in CREST_FROM_MS..CREST_TO_MS
        val perSec = SWINGING_PER_SEC * (if (isCrest) CREST_FACTOR else 1)
        atMs += random.exponential(1_000.0 / perSec)
        all += atMs.toLong() to SWINGING
    }
    return all.sortedBy { it.first }.mapIndexed { index, (arrivesMs, customer) ->
        val runTimeMs = (RUN_MS * (0.5 + random.nextDouble())).toLong()
        requestRun(index, customer, "proof", arrivesMs, runTimeMs, DEADLINE_MS)
    }
}

private val crestVariants: Map<String, () -> RequestPolicy> = mapOf(
    "size-classes" to { CellPolicy(crestContracts, RoutingSettings()) },
    "late-factor-0.5" to { CellPolicy(crestContracts, RoutingSettings(lateFactor = 0.5)) },
    "first-come" to { FirstComePolicy() },
    "round-robin" to { roundRobin() }
)

/** Ten times the demand within a second, for twenty seconds. */
internal fun crest(seed: Long, report: (Figure) -> Unit) {
    for (roundSeed in seed until seed + CREST_ROUNDS) {
        val arrivals = crestWorkload(roundSeed)
        for ((name, policy) in crestVariants) {
            val times = simulate(arrivals, policy(), CREST_UNTIL_MS)
            crestFigures(times, name, roundSeed).forEach(report)
        }
    }
}

private fun RequestTimes.isUseful(): Boolean = endMs != null && endMs <= run.arrivesMs + DEADLINE_MS

private fun crestFigures(times: List<RequestTimes>, variant: String, seed: Long): List<Figure> {
    val crestMs = CREST_TO_MS - CREST_FROM_MS
    val ended = times.filter { it.endMs != null && it.endMs in CREST_FROM_MS..CREST_TO_MS }
    val useful = ended.filter { it.isUseful() }.sumOf { it.run.runTimeMs }
    val insiders = times.filter {
        it.run.arrivesMs in CREST_FROM_MS..CREST_TO_MS && it.run.spec.customerId.value != SWINGING
    }
    fun figure(name: String, value: Double, unit: String) =
        Figure("crest.$name", variant, value, unit, seed)
    return listOf(
        figure("useful", useful.toDouble() / (BENCH_CAPACITY * crestMs), "of-capacity"),
        figure("inside-served", insiders.share { it.isUseful() }, "of-contracted"),
        figure("inside-wait-p99", insiders.mapNotNull { it.waitMs }.quantile(0.99), "ms"),
        figure("back-to-normal", backToNormalMs(times).toDouble(), "ms")
    )
}

private fun List<RequestTimes>.share(matches: (RequestTimes) -> Boolean): Double =
    if (isEmpty()) 0.0 else count(matches).toDouble() / size

/** From the end of the crest until a second in which 99% of the arrivals are useful again. */
private fun backToNormalMs(times: List<RequestTimes>): Long {
    val after = times.filter { it.run.arrivesMs >= CREST_TO_MS }
        .groupBy { (it.run.arrivesMs - CREST_TO_MS) / BUCKET_MS }
    val lastSecond = (CREST_UNTIL_MS - CREST_TO_MS - DEADLINE_MS) / BUCKET_MS
    val normal = (0 until lastSecond).firstOrNull { second ->
        after[second].orEmpty().share { it.isUseful() } >= 0.99
    }
    return (normal ?: lastSecond) * BUCKET_MS
}
