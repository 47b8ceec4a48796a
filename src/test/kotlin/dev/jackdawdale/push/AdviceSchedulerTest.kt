package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StepId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

private val longTerms = AdviceTerms(decisionMs = 480.0, perWorkerMs = 7.0, validMs = 2_000)
private val mediumTerms = AdviceTerms(decisionMs = 130.0, perWorkerMs = 2.0, validMs = 2_000)
private val shortTerms = AdviceTerms(decisionMs = 7.0, perWorkerMs = 0.1, validMs = 2_000)
private val workers = List(3) { Candidate("w$it", boot = 1) }
private val hosts = List(4) { HostId("h$it") }

private fun stepId(name: String) = StepId(name, 0, 0)

private class Sent {
    val calls = ArrayList<AdviceCall>()
    val advice = AdviceScheduler {
        calls += it
        true
    }
}

class AdviceSchedulerTest :
    FunSpec({
        test("long calls take all hosts, so that a short call has to wait") {
            val sent = Sent()
            repeat(6) {
                sent.advice.request(stepId("long$it"), longTerms, workers, it.toDouble(), 0)
            }
            sent.advice.dispatch(hosts, 0)
            sent.calls shouldHaveSize 2
            sent.advice.request(stepId("short"), shortTerms, workers, 100.0, 10)
            sent.advice.dispatch(hosts, 10)
            sent.calls.last().stepId shouldBe stepId("short")
        }

        test("a long call takes the only host from a short one") {
            val sent = Sent()
            sent.advice.request(stepId("long"), longTerms, workers, 0.0, 0)
            sent.advice.request(stepId("short"), shortTerms, workers, 100.0, 0)
            sent.advice.dispatch(listOf(hosts[0]), 0)
            sent.calls.map { it.stepId } shouldBe listOf(stepId("short"))
        }

        test("a long call never gets the only host, although no short call is due") {
            val sent = Sent()
            sent.advice.request(stepId("long"), longTerms, workers, 0.0, 0)
            sent.advice.dispatch(listOf(hosts[0]), 0)
            sent.calls.map { it.stepId } shouldBe listOf(stepId("long"))
        }

        test("calls of medium length wait until all long ones have had their turn") {
            val sent = Sent()
            val many = List(20) { HostId("h$it") }
            sent.advice.beginPass(many, 0)
            repeat(30) {
                sent.advice.request(stepId("long$it"), longTerms, workers, it.toDouble(), 0)
            }
            sent.advice.canStartCall(longTerms) shouldBe false
            sent.advice.canStartCall(mediumTerms) shouldBe true
            repeat(10) {
                sent.advice.request(stepId("m$it"), mediumTerms, workers, 100.0 + it, 0)
            }
            sent.advice.request(stepId("short"), shortTerms, workers, 200.0, 0)
            sent.advice.dispatch(many, 0)
            sent.calls.groupingBy { it.terms }.eachCount() shouldBe
                mapOf(longTerms to 13, mediumTerms to 4, shortTerms to 1)
        }

        test("hosts are idle while long calls wait, as most are kept for short ones") {
            val sent = Sent()
            val many = List(33) { HostId("h$it") }
            repeat(40) {
                sent.advice.request(stepId("long$it"), longTerms, workers, it.toDouble(), 0)
            }
            sent.advice.dispatch(many, 0)
            sent.calls shouldHaveSize 21
        }

        test("a host gets a second call before its first is answered") {
            val sent = Sent()
            repeat(6) { sent.advice.request(stepId("s$it"), shortTerms, workers, it.toDouble(), 0) }
            sent.advice.dispatch(hosts, 0)
            sent.calls.map { it.hostId }.toSet() shouldHaveSize 4
            sent.calls shouldHaveSize 4
        }

        test("a ticket is used after its expiry, or for another worker process") {
            val sent = Sent()
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            val call = sent.calls.single()
            sent.advice.answered(
                call.hostId,
                call.callId,
                AdviceResult.Given(mapOf("w1" to "t")),
                10
            )
            sent.advice.ticket(stepId("s"), "w1", boot = 1, untilMs = 1_500)?.text shouldBe "t"
            sent.advice.ticket(stepId("s"), "w1", boot = 2, untilMs = 1_500) shouldBe null
            sent.advice.ticket(stepId("s"), "w1", boot = 1, untilMs = 2_500) shouldBe null
            sent.advice.ticket(stepId("s"), "w2", boot = 1, untilMs = 1_500) shouldBe null
        }

        test("a ticket expires while the others of its step are renewed") {
            val sent = Sent()
            val step = stepId("s")
            val tickets = AdviceResult.Given(workers.associate { it.workerId to "t" })
            sent.advice.request(step, longTerms, workers.take(1), 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            sent.advice.answered(hosts[0], sent.calls[0].callId, tickets, 500)
            sent.advice.request(step, longTerms, workers.drop(1), 0.0, 500)
            sent.advice.dispatch(hosts, 500)
            sent.advice.answered(hosts[0], sent.calls[1].callId, tickets, 1_000)
            sent.advice.dropTicket(step, "w2")
            sent.advice.request(step, longTerms, workers, 0.0, 2_100)
            sent.advice.dispatch(hosts, 2_100)
            sent.calls.last().asked shouldBe workers
            sent.advice.ticket(step, "w1", boot = 1, untilMs = 2_200)?.text shouldBe "t"
        }

        test("a step with more workers than fit in one call waits for several calls in a row") {
            val sent = Sent()
            val many = List(150) { Candidate("w$it", boot = 1) }
            sent.advice.request(stepId("s"), longTerms, many, 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            sent.calls.map { it.asked.size } shouldBe listOf(75, 75)
            sent.calls.map { it.hostId }.toSet() shouldHaveSize 2
        }

        test("workers are chosen for more steps than calls can start in a pass") {
            val sent = Sent()
            sent.advice.beginPass(hosts, 0)
            val prepared = (0 until 10).filter {
                val fits = sent.advice.canStartCall(shortTerms)
                if (fits) sent.advice.request(stepId("s$it"), shortTerms, workers, it.toDouble(), 0)
                fits
            }
            prepared shouldBe listOf(0, 1, 2, 3)
            sent.advice.dispatch(hosts, 0)
            sent.advice.beginPass(hosts, 1)
            sent.advice.canStartCall(shortTerms) shouldBe false
        }

        test("a step waits for the answer of a host that is gone") {
            val sent = Sent()
            sent.advice.request(stepId("s"), longTerms, workers, 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            val first = sent.calls.single()
            val others = hosts - first.hostId
            sent.advice.dispatch(others, 10)
            sent.calls shouldHaveSize 2
            sent.calls.last().asked shouldBe first.asked
        }

        test("a worker that the policy refuses is asked about again") {
            val sent = Sent()
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            val call = sent.calls.single()
            sent.advice.answered(
                call.hostId,
                call.callId,
                AdviceResult.Given(mapOf("w1" to "t")),
                10
            )
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 5_000)
            sent.advice.dispatch(hosts, 5_000)
            sent.calls.last().asked shouldBe listOf(Candidate("w1", 1))
        }

        test("the advice about an ended job is kept") {
            val sent = Sent()
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            val call = sent.calls.single()
            sent.advice.answered(
                call.hostId,
                call.callId,
                AdviceResult.Given(mapOf("w1" to "t")),
                10
            )
            sent.advice.forget("s")
            sent.advice.isAnswered(stepId("s")) shouldBe false
        }

        test("a call without an answer blocks its host, or its late answer is used") {
            val sent = Sent()
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.advice.dispatch(listOf(hosts[0]), 0)
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 10_000)
            sent.advice.dispatch(listOf(hosts[0]), 10_000)
            sent.calls shouldHaveSize 2
            val late = AdviceResult.Given(mapOf("w1" to "late"))
            sent.advice.answered(hosts[0], sent.calls[0].callId, late, 10_001) shouldBe null
        }

        test("the log shows a queued call as in flight") {
            val sent = Sent()
            repeat(3) { sent.advice.request(stepId("s$it"), shortTerms, workers, it.toDouble(), 0) }
            sent.advice.dispatch(listOf(hosts[0]), 0)
            val first = sent.advice.facts(stepId("s0"), 0)
            first.callInFlight shouldBe true
            first.calls shouldBe 1
            val last = sent.advice.facts(stepId("s2"), 0)
            last.callInFlight shouldBe false
            last.behind shouldBe 1
            last.calls shouldBe 0
        }

        test("the log counts expired tickets as valid") {
            val sent = Sent()
            sent.advice.request(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.advice.dispatch(hosts, 0)
            val call = sent.calls.single()
            val tickets = AdviceResult.Given(mapOf("w0" to "t", "w1" to "t"))
            sent.advice.answered(call.hostId, call.callId, tickets, 10)
            sent.advice.facts(stepId("s"), 20).ticketed shouldBe 2
            sent.advice.facts(stepId("s"), 2_500).ticketed shouldBe 0
            sent.advice.facts(stepId("s"), 2_500).asked shouldBe 3
            sent.advice.callsDone shouldBe 1
            sent.advice.callsInFlight shouldBe 0
        }
    })
