package dev.jackdawdale.bench

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.emptyBlob
import dev.jackdawdale.recovery.CancelDecision
import dev.jackdawdale.recovery.decideCancel
import dev.jackdawdale.routing.RoutingSettings
import dev.jackdawdale.routing.route
import kotlin.random.Random

private val benchHost = HostId("e1")
private const val BENCH_CUSTOMERS = 88
private const val KINDS = 10
private const val ROUTE_WARM_UP = 20_000
private const val ROUTE_CALLS = 20_000

private fun waitingCell(random: Random, waiting: Int): RequestCell {
    val cell = RequestCell(routingSettings = RoutingSettings(trialRuns = 1_000))
    for (index in 0 until BENCH_CUSTOMERS) {
        val contract = benchContract("customer-$index")
        cell.append(Event.ContractChanged(ChangeId("change-$index"), contract))
    }
    cell.append(Event.EntryHostJoined(EntryHost(benchHost, 1, FailureDomain("kochi"))))
    repeat(BENCH_ENDPOINTS) { cell.append(Event.EndpointJoined(benchEndpoint(it))) }
    repeat(waiting + BENCH_CAPACITY) { submitOne(cell, random, it) }
    cell.routeOnce()
    return cell
}

private fun submitOne(cell: RequestCell, random: Random, index: Int) {
    val customer = "customer-${random.nextInt(BENCH_CUSTOMERS)}"
    val kind = "kind-${random.nextInt(KINDS)}"
    val deadlineInMs = random.nextLong(1_000_000, 3_000_000)
    val run = requestRun(index, customer, kind, cell.nowMs, 1, deadlineInMs)
    cell.submit(run.spec, benchHost)
}

/** Measures a routing decision that places one request while many others wait. */
internal fun routeCost(seed: Long, report: (Figure) -> Unit) {
    val waitingSizes = listOf(100, 10_000, 50_000)
    val cells = waitingSizes.associateWith { waitingCell(Random(seed), it) }
    val nanos = waitingSizes.associateWith { mutableListOf<Long>() }
    val random = Random(seed)
    repeat(ROUTE_WARM_UP + ROUTE_CALLS) { call ->
        for ((waiting, cell) in cells) {
            val spent = routeStep(cell, random, call + 1_000_000)
            if (call >= ROUTE_WARM_UP) nanos.getValue(waiting) += spent
        }
    }
    for ((waiting, spent) in nanos) {
        val variant = "waiting-$waiting"
        report(Figure("route-cost.p50", variant, spent.quantile(0.5) / 1_000, "us", seed))
        report(Figure("route-cost.p99", variant, spent.quantile(0.99) / 1_000, "us", seed))
    }
}

/** Ends one request, submits another and routes one; returns the routing time in nanoseconds. */
private fun routeStep(cell: RequestCell, random: Random, index: Int): Long {
    cell.nowMs += 1
    val endpoint = cell.state.endpoints.values.random(random)
    val workId = endpoint.inFlight.random(random)
    val placement = cell.state.requests.getValue(workId).placement
    val answer = AttemptResult.Answered(Answer(200, "text/plain", emptyBlob))
    if (placement != null) cell.finish(workId, placement.token, answer)
    submitOne(cell, random, index)
    val startNanos = System.nanoTime()
    val decision = route(cell.state, cell.routing, setOf(benchHost), cell.nowMs, 1)
    val spent = System.nanoTime() - startNanos
    cell.applyRouting(decision)
    return spent
}

private const val CANCEL_ROUNDS = 12
private const val CANCEL_WARM_UP = 4
private const val NANOS_PER_US = 1_000.0

/** Measures the time per cancellation, decision and events together, by size of the wave. */
internal fun cancelWave(seed: Long, report: (Figure) -> Unit) {
    val rounds = (0 until CANCEL_ROUNDS).flatMap { round -> waveSizes.map { round to it } }
    for ((round, waiting) in rounds) {
        val spent = cancelAll(waitingCell(Random(seed + round), waiting), Random(seed + round))
        if (round < CANCEL_WARM_UP) continue
        report(Figure("cancel-wave.per-event", "wave-$waiting", spent, "us", seed + round))
    }
}

private val waveSizes = listOf(1_000, 5_000, 20_000)

/** Cancels all waiting requests in random order; returns the microseconds per request. */
private fun cancelAll(cell: RequestCell, random: Random): Double {
    val specs = cell.state.requests.values.filter { it.placement == null }
        .map { it.spec }.shuffled(random)
    val startNanos = System.nanoTime()
    for (spec in specs) {
        val decision = decideCancel(cell.state, spec.customerId, spec.workId, cell.nowMs)
        if (decision is CancelDecision.Accepted) cell.append(decision.events)
    }
    return (System.nanoTime() - startNanos) / NANOS_PER_US / specs.size
}
