package dev.jackdawdale.routing

import dev.jackdawdale.bench.RequestCell
import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.emptyBlob
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleEndpoint
import dev.jackdawdale.model.sampleRequest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private val e1 = HostId("e1")
private val e2 = HostId("e2")
private val answer = AttemptResult.Answered(Answer(200, "text/plain", emptyBlob))

private fun cell(
    vararg contracts: Contract = arrayOf(sampleContract("sri")),
    endpoints: Int = 1,
    slots: Int = 8
): RequestCell {
    val cell = RequestCell(nowMs = 1_000)
    contracts.forEach { cell.append(Event.ContractChanged(ChangeId("c-${it.customerId}"), it)) }
    cell.append(Event.EntryHostJoined(EntryHost(e1, 1, FailureDomain("kochi"))))
    cell.append(Event.EntryHostJoined(EntryHost(e2, 1, FailureDomain("thrissur"))))
    repeat(endpoints) { cell.append(Event.EndpointJoined(sampleEndpoint("p$it", slots = slots))) }
    return cell
}

private fun RequestCell.submitted(vararg specs: RequestSpec) = specs.forEach { submit(it, e1) }

private fun RequestCell.requests(
    customer: String,
    count: Int,
    kind: String = "check",
    deadlineMs: Long = 600_000
) = submitted(
    *Array(count) { sampleRequest(customer, "$customer-$kind-$it", true, deadlineMs + it, kind) }
)

/** Runs one request of the kind for [runTimeMs], which sets its size class. */
private fun RequestCell.measure(customer: String, kind: String, runTimeMs: Long) {
    val spec = sampleRequest(customer, "measure-$customer-$kind", kind = kind, deadlineMs = 900_000)
    submitted(spec)
    routeOnce()
    nowMs += runTimeMs
    answered(spec)
}

private fun RequestCell.answered(spec: RequestSpec) =
    finish(spec.workId, state.requests.getValue(spec.workId).placement!!.token, answer)

private fun RequestCell.broken(spec: RequestSpec) = finish(
    spec.workId,
    state.requests.getValue(spec.workId).placement!!.token,
    AttemptResult.Broken("reset")
)

private fun List<Event>.placedIds(): List<String> =
    filterIsInstance<Event.RequestPlaced>().map { it.workId.value.substringAfter('/') }

/** Each test is named after the failure that it guards against. */
class RouteTest :
    FunSpec({
        test("long work takes every slot") {
            val cell = cell(slots = 8, endpoints = 2)
            cell.measure("sri", "nest", 5_000)
            cell.requests("sri", 20, "nest")
            cell.routeOnce().size shouldBe 12
            cell.requests("sri", 1, "check")
            cell.routeOnce().placedIds() shouldContainExactly listOf("sri-check-0")
        }

        test("long work takes the slots that the last burst of short work needed") {
            val cell = cell(slots = 8, endpoints = 2)
            cell.measure("sri", "nest", 5_000)
            cell.measure("sri", "check", 100)
            cell.requests("sri", 8)
            cell.routeOnce()
            cell.state.requests.values.toList().forEach { cell.answered(it.spec) }
            cell.requests("sri", 20, "nest")
            // 8 checks of 100 ms within 100 ms need 8 slots, plus a quarter as headroom.
            cell.routeOnce().size shouldBe 6
            cell.nowMs += 120_000
            cell.routeOnce().size shouldBe 6
        }

        test("work declared ten times too short takes the slots of short work") {
            val cell = cell(slots = 8, endpoints = 2)
            val specs = (0 until 20).map {
                sampleRequest("sri", "n$it", kind = "nest", deadlineMs = 600_000)
                    .copy(declaredRunTimeMs = 100)
            }
            cell.submitted(*specs.toTypedArray())
            cell.routeOnce().size shouldBe 2
            cell.nowMs += 1_000
            cell.routeOnce().size shouldBe 10
            cell.routing.service(specs[0].service).pool.longRunning shouldBe 12
        }

        test("a kind measured as short stays limited to the trial runs") {
            val cell = cell(slots = 8, endpoints = 2)
            cell.measure("sri", "check", 20)
            cell.requests("sri", 20)
            cell.routeOnce().size shouldBe 16
        }

        test("one customer's long work blocks that of another") {
            val cell = cell(sampleContract("sri"), sampleContract("teku"), slots = 8, endpoints = 2)
            cell.measure("sri", "nest", 5_000)
            cell.requests("sri", 12, "nest")
            cell.routeOnce().size shouldBe 12
            cell.measure("teku", "nest", 5_000)
            cell.requests("teku", 12, "nest")
            cell.requests("sri", 4, "nest2")
            val running = cell.state.requests.values.filter { it.placement != null }.take(4)
            running.forEach { cell.answered(it.spec) }
            cell.routeOnce().placedIds().count { it.startsWith("teku") } shouldBe 4
        }

        test("a customer with ten times the work gets ten times the slots") {
            val cell = cell(sampleContract("sri"), sampleContract("teku"), slots = 40)
            cell.measure("sri", "check", 20)
            cell.measure("teku", "check", 20)
            cell.requests("sri", 200)
            cell.requests("teku", 20)
            val placed = cell.routeOnce().placedIds()
            placed.count { it.startsWith("teku") } shouldBe 20
        }

        test("a customer's later deadline or lower urgency goes first") {
            val cell = cell(slots = 3)
            cell.measure("sri", "check", 20)
            cell.submitted(
                sampleRequest("sri", "late", deadlineMs = 90_000),
                sampleRequest("sri", "early", deadlineMs = 30_000),
                sampleRequest("sri", "urgent").copy(urgency = Urgency.URGENT)
            )
            cell.routeOnce().placedIds() shouldContainExactly listOf("urgent", "early", "late")
        }

        test("more requests of a customer run than its contract allows") {
            val cell = cell(sampleContract("sri").copy(maxRunningRequests = 3))
            cell.measure("sri", "check", 20)
            cell.requests("sri", 8)
            cell.routeOnce().size shouldBe 3
            val waiting = cell.state.requests.values.first { it.placement == null }.spec.workId
            waitingReason(cell.state, cell.routing, waiting, cell.nowMs)!! shouldContain
                "max_running_requests"
            cell.append(
                Event.ContractChanged(
                    ChangeId("more"),
                    sampleContract("sri", version = 2).copy(maxRunningRequests = 5)
                )
            )
            cell.routeOnce().size shouldBe 2
        }

        test("a retry goes to the endpoint that failed") {
            val cell = cell(endpoints = 2, slots = 1)
            val spec = sampleRequest("sri", "a")
            cell.submitted(spec)
            val first = cell.routeOnce().filterIsInstance<Event.RequestPlaced>().single()
            cell.broken(spec)
            cell.submitted(sampleRequest("sri", "b"))
            cell.routeOnce()
            cell.nowMs += 20_000
            // The other endpoint is busy with b, and the failed one is due for a probe.
            cell.routeOnce().placedIds() shouldNotContain "a"
            cell.answered(sampleRequest("sri", "b"))
            cell.nowMs += 200
            val again = cell.routeOnce().filterIsInstance<Event.RequestPlaced>().single()
            (again.endpointId == first.endpointId) shouldBe false
        }

        test("a retry never starts when there is only one endpoint") {
            val cell = cell(endpoints = 1)
            val spec = sampleRequest("sri", "a")
            cell.submitted(spec)
            cell.routeOnce()
            cell.broken(spec)
            cell.routeOnce().shouldBeEmpty()
            cell.nowMs += 1_000
            cell.routeOnce().placedIds() shouldContainExactly listOf("a")
        }

        test("an endpoint that refuses everything attracts all requests") {
            val cell = cell(endpoints = 2, slots = 8)
            cell.measure("sri", "check", 20)
            val bad = EndpointId("p0")
            var onBad = 0
            repeat(100) { step ->
                cell.requests("sri", 1, "k$step")
                for (event in cell.routeOnce().filterIsInstance<Event.RequestPlaced>()) {
                    if (event.endpointId == bad) onBad++
                    val refused = AttemptResult.NotSent("refused")
                    val result = if (event.endpointId == bad) refused else answer
                    cell.finish(event.workId, event.token, result)
                }
                cell.nowMs += 10
            }
            // Within one second: pauses of 100, 200, 400 and 800 ms between the probes.
            (onBad in 1..5) shouldBe true
        }

        test("a recovered endpoint stays unused") {
            val cell = cell(endpoints = 1, slots = 8)
            cell.measure("sri", "check", 20)
            cell.measure("sri", "other", 20)
            cell.requests("sri", 3)
            val first = cell.routeOnce().filterIsInstance<Event.RequestPlaced>().first()
            cell.finish(first.workId, first.token, AttemptResult.NotSent("refused"))
            cell.requests("sri", 3, "other")
            cell.routeOnce().shouldBeEmpty()
            cell.nowMs += 100
            cell.routeOnce().size shouldBe 1
            cell.routeOnce().shouldBeEmpty()
            cell.nowMs += 1_000
            cell.routeOnce().size shouldBe 3
        }

        test("a draining endpoint gets new work") {
            val cell = cell()
            cell.append(
                Event.EndpointPhaseChanged(EndpointId("p0"), 1, EndpointPhase.DRAINING)
            )
            cell.requests("sri", 1)
            cell.routeOnce().shouldBeEmpty()
            val id = cell.state.requests.keys.single()
            waitingReason(cell.state, cell.routing, id, cell.nowMs)!! shouldContain "no active"
        }

        test("work is dispatched through an entry host that is not live") {
            val cell = cell()
            cell.requests("sri", 1)
            cell.routeOnce(live = emptySet()).shouldBeEmpty()
            val placed = cell.routeOnce(live = setOf(e2)).single() as Event.RequestPlaced
            placed.entryHostId shouldBe e2
        }

        test("work past its deadline runs, or work that may have run counts as not run") {
            val cell = cell()
            cell.submitted(sampleRequest("sri", "never", deadlineMs = 3_000))
            val tried = sampleRequest("sri", "tried", deadlineMs = 3_000)
            cell.submitted(tried)
            cell.routeOnce()
            cell.broken(tried)
            cell.finish(
                sampleRequest("sri", "never").workId,
                cell.state.requests.getValue(
                    sampleRequest("sri", "never").workId
                ).placement!!.token,
                AttemptResult.NotSent("refused")
            )
            cell.nowMs = 3_000
            cell.routeOnce(live = emptySet()).size shouldBe 2
            cell.state.ended.values.associate { it.workId.value to it.outcome::class } shouldBe
                mapOf(
                    "sri/never" to Outcome.DeadlineExceeded::class,
                    "sri/tried" to Outcome.MayHaveRun::class
                )
        }

        test("work that will miss its deadline takes the slot of work that can meet it") {
            val cell = cell(slots = 1)
            cell.measure("sri", "check", 800)
            cell.submitted(
                sampleRequest("sri", "hopeless", deadlineMs = cell.nowMs + 4_000),
                sampleRequest("sri", "good", deadlineMs = cell.nowMs + 9_000)
            )
            cell.nowMs += 2_500
            cell.routeOnce().placedIds() shouldContainExactly listOf("good")
        }

        test("work with a close deadline is late from the start") {
            val cell = cell(slots = 1)
            cell.measure("sri", "check", 800)
            cell.submitted(
                sampleRequest("sri", "close", deadlineMs = cell.nowMs + 1_000),
                sampleRequest("sri", "good", deadlineMs = cell.nowMs + 9_000)
            )
            cell.routeOnce().placedIds() shouldContainExactly listOf("close")
        }

        test("a new kind for every request lets long work run as short") {
            val cell = cell(slots = 8, endpoints = 2)
            repeat(5) { cell.measure("sri", "first-$it", 5_000) }
            repeat(20) { cell.requests("sri", 1, "kind-$it") }
            // Two run on trial as short work, the others in the twelve slots of long work.
            cell.routeOnce().size shouldBe 14
        }
    })
