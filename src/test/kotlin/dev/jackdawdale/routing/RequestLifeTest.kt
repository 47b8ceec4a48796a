package dev.jackdawdale.routing

import dev.jackdawdale.admission.admissionState
import dev.jackdawdale.bench.RequestCell
import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestPlacement
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.blob
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleEndpoint
import dev.jackdawdale.model.sampleRequest
import dev.jackdawdale.recovery.CancelDecision
import dev.jackdawdale.recovery.attemptRecoveryState
import dev.jackdawdale.recovery.decideCancel
import dev.jackdawdale.recovery.decideEntryHostLost
import dev.jackdawdale.recovery.decideSession
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val STEPS = 1_500
private val customers = listOf("sri", "teku", "balaju")
private val hosts = listOf("e1", "e2").map(::HostId)

/** Runs random operations on a cell and tracks what really happened, to check its state. */
private class RandomCell(private val random: Random) {
    val cell = RequestCell(nowMs = 1_000)
    val accepted = mutableSetOf<WorkId>()

    /** By work, the number of attempts whose bytes may have reached an endpoint. */
    val sent = mutableMapOf<WorkId, Int>()
    private var submitted = 0
    private val incarnations = hosts.associateWith { 1L }.toMutableMap()

    init {
        for (name in customers) {
            val contract = sampleContract(name).copy(maxRunningRequests = 5, maxQueuedRequests = 9)
            cell.append(Event.ContractChanged(ChangeId("c-$name"), contract))
        }
        hosts.forEach(::hostJoins)
        repeat(4) { endpointJoins(it) }
    }

    fun step() {
        cell.nowMs += random.nextLong(200)
        when (random.nextInt(20)) {
            in 0..6 -> submit()
            in 7..11 -> placedWork()?.let(::attemptEnds)
            12 -> cancel()
            13 -> endpointJoins(random.nextInt(4))
            14 -> endpointLeaves()
            15 -> sessionReopens()
            16 -> hostIsLost()
            17 -> cell.changeLeader()
            else -> cell.nowMs += random.nextLong(2_000)
        }
        val events = cell.routeOnce(limit = random.nextInt(1, 6))
        events.filterIsInstance<Event.RequestPlaced>().forEach {
            sent[it.workId] = (sent[it.workId] ?: 0) + 1
        }
    }

    private fun submit() {
        val spec = sampleRequest(
            customer = customers.random(random),
            requestId = "r${submitted++}",
            idempotent = random.nextBoolean(),
            deadlineMs = cell.nowMs + random.nextLong(1, 20_000),
            kind = "kind-${random.nextInt(3)}"
        )
        cell.submit(spec, hosts.random(random))
        if (spec.workId in cell.state.requests) accepted += spec.workId
    }

    private fun placedWork(): RequestWork? =
        cell.state.requests.values.filter { it.placement != null }.randomOrNull(random)

    private fun attemptEnds(work: RequestWork) {
        val placement = work.placement!!
        val result = when (random.nextInt(6)) {
            0 -> AttemptResult.NotSent("refused").also { markNotSent(work.spec.workId) }
            1 -> AttemptResult.Broken("reset")
            2 -> AttemptResult.Answered(Answer(503, "text/plain", blob("busy")))
            else -> AttemptResult.Answered(Answer(200, "text/plain", blob("plan")))
        }
        cell.finish(work.spec.workId, placement.token, result)
    }

    private fun markNotSent(workId: WorkId) {
        sent[workId] = sent.getValue(workId) - 1
    }

    private fun cancel() {
        val work = cell.state.requests.values.randomOrNull(random) ?: return
        val decision = decideCancel(
            cell.state,
            work.spec.customerId,
            work.spec.workId,
            cell.nowMs
        )
        cell.append((decision as CancelDecision.Accepted).events)
    }

    private fun endpointJoins(index: Int) =
        cell.append(Event.EndpointJoined(sampleEndpoint("p$index", cell.nowMs, slots = 3)))

    private fun endpointLeaves() {
        val id = EndpointId("p${random.nextInt(4)}")
        val endpoint = cell.state.endpoints[id] ?: return
        val phase = EndpointPhase.entries.random(random)
        cell.append(Event.EndpointPhaseChanged(id, endpoint.info.incarnation, phase))
    }

    private fun hostJoins(id: HostId) {
        val host = EntryHost(id, incarnations.getValue(id), FailureDomain("kochi"))
        cell.append(Event.EntryHostJoined(host))
    }

    private fun placedAt(id: HostId): List<Pair<WorkId, RequestPlacement>> =
        cell.state.requests.values
            .mapNotNull { work -> work.placement?.let { work.spec.workId to it } }
            .filter { (_, placement) -> placement.entryHostId == id }

    private fun sessionReopens() {
        val id = hosts.random(random)
        val restarted = random.nextBoolean()
        if (restarted) incarnations[id] = incarnations.getValue(id) + 1
        val incarnation = incarnations.getValue(id)
        val held = placedAt(id).filter { !restarted && random.nextInt(4) > 0 }
        if (!restarted) (placedAt(id) - held.toSet()).forEach { markNotSent(it.first) }
        val attempts = held.map { (workId, placement) -> HeldAttempt(workId, placement.token) }
        hostJoins(id)
        cell.append(
            decideSession(cell.state, cell.recovery, id, incarnation, attempts, cell.nowMs)
        )
    }

    private fun hostIsLost() {
        val id = hosts.random(random)
        val incarnation = incarnations.getValue(id)
        cell.append(decideEntryHostLost(cell.state, cell.recovery, id, incarnation, cell.nowMs))
        cell.append(Event.EntryHostLeft(id, incarnation))
        incarnations[id] = incarnation + 1
        hostJoins(id)
    }
}

private fun checkLimits(randomCell: RandomCell) {
    val state = randomCell.cell.state
    for (endpoint in state.endpoints.values) {
        withClue("more in flight than slots on ${endpoint.info.endpointId}") {
            endpoint.inFlight.size shouldBeLessThanOrEqualTo endpoint.info.slots
        }
    }
    for (name in customers) {
        val running = state.requests.values
            .count { it.spec.customerId.value == name && it.placement != null }
        withClue("running limit of $name") { running shouldBeLessThanOrEqualTo 5 }
    }
}

private fun checkWork(randomCell: RandomCell) {
    val state = randomCell.cell.state
    for (workId in randomCell.accepted) {
        val work = state.requests[workId]
        val ended = state.ended[workId]
        val sent = randomCell.sent[workId] ?: 0
        withClue("$workId is lost") { (work != null) shouldBe (ended == null) }
        if (work != null && !work.spec.idempotent) {
            withClue("$workId is sent twice") { sent shouldBeLessThanOrEqualTo 1 }
        }
        if (ended != null && provesNotRun(ended.outcome)) {
            withClue("$workId may have run, but ended ${ended.outcome}") { sent shouldBe 0 }
        }
    }
}

private fun provesNotRun(outcome: Outcome): Boolean = when (outcome) {
    is Outcome.NotRun, Outcome.DeadlineExceeded -> true
    is Outcome.Cancelled -> !outcome.mayHaveRun
    else -> false
}

/** Indexes updated by events must equal those rebuilt from the replicated state. */
private fun checkIndexes(cell: RequestCell) {
    val routing = routingState(cell.state, cell.nowMs)
    cell.routing.waiting.keys.toSet() shouldBe routing.waiting.keys.toSet()
    cell.routing.deadlines shouldBe routing.deadlines
    cell.routing.running.toMap() shouldBe routing.running.toMap()
    cell.routing.placed.keys.toSet() shouldBe routing.placed.keys.toSet()
    // Groups whose requests are all paused or late exist only where they wait in a queue.
    cell.routing.groups.mapValues { it.value.running }.filterValues { it != 0 } shouldBe
        routing.groups.mapValues { it.value.running }.filterValues { it != 0 }
    val pool = cell.routing.services.values.single().pool
    val rebuilt = routing.services.values.single().pool
    pool.loads.mapValues { it.value.inFlight } shouldBe
        rebuilt.loads.mapValues { it.value.inFlight }
    pool.longRunning shouldBe cell.routing.placed.values.count { it.size == SizeClass.LONG }
    pool.loads.values.sumOf { it.longRunning } shouldBe pool.longRunning
    val admission = admissionState(cell.state, cell.nowMs)
    val used = cell.admission.usage.filterValues {
        it.queuedRequests + it.runningRequests > 0
    }
    used shouldBe admission.usage.toMap()
    cell.admission.freeSlots.filterValues { it > 0 } shouldBe
        admission.freeSlots.filterValues { it > 0 }
    val recovery = attemptRecoveryState(cell.state, cell.nowMs)
    cell.recovery.placedByEntryHost.toMap() shouldBe recovery.placedByEntryHost.toMap()
}

class RequestLifeTest :
    FunSpec({
        context("work is lost, runs twice, exceeds a limit or gets a wrong outcome") {
            withData(nameFn = { "seed $it" }, (1L..12L).toList()) { seed ->
                val randomCell = RandomCell(Random(seed))
                repeat(STEPS) { step ->
                    withClue("seed $seed, step $step") {
                        randomCell.step()
                        checkLimits(randomCell)
                        checkWork(randomCell)
                        if (step % 10 == 0) checkIndexes(randomCell.cell)
                    }
                }
                withClue("the sequence must end enough work") {
                    (randomCell.cell.state.ended.size > STEPS / 10) shouldBe true
                }
            }
        }
    })
