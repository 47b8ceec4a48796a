package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StepId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

private val longTerms = AdviceTerms(decisionMs = 480.0, perWorkerMs = 7.0, validMs = 2_000)
private val shortTerms = AdviceTerms(decisionMs = 7.0, perWorkerMs = 0.1, validMs = 2_000)
private val workers = List(3) { Candidate("w$it", boot = 1) }
private val hosts = List(4) { HostId("h$it") }

private fun stepId(name: String) = StepId(name, 0, 0)

private class Sent {
    val calls = ArrayList<AdviceCall>()
    val desk = AdviceDesk {
        calls += it
        true
    }
}

class AdviceDeskTest :
    FunSpec({
        test("long calls leave half of the hosts to short ones") {
            val sent = Sent()
            repeat(6) { sent.desk.want(stepId("long$it"), longTerms, workers, it.toDouble(), 0) }
            sent.desk.dispatch(hosts, 0)
            sent.calls shouldHaveSize 2
            sent.desk.want(stepId("short"), shortTerms, workers, 100.0, 10)
            sent.desk.dispatch(hosts, 10)
            sent.calls.last().stepId shouldBe stepId("short")
        }

        test("a long call does not take the only host from a short one") {
            val sent = Sent()
            sent.desk.want(stepId("long"), longTerms, workers, 0.0, 0)
            sent.desk.want(stepId("short"), shortTerms, workers, 100.0, 0)
            sent.desk.dispatch(listOf(hosts[0]), 0)
            sent.calls.map { it.stepId } shouldBe listOf(stepId("short"))
        }

        test("a long call gets the only host when nothing short waits") {
            val sent = Sent()
            sent.desk.want(stepId("long"), longTerms, workers, 0.0, 0)
            sent.desk.dispatch(listOf(hosts[0]), 0)
            sent.calls.map { it.stepId } shouldBe listOf(stepId("long"))
        }

        test("one host has one call at a time") {
            val sent = Sent()
            repeat(6) { sent.desk.want(stepId("s$it"), shortTerms, workers, it.toDouble(), 0) }
            sent.desk.dispatch(hosts, 0)
            sent.calls.map { it.hostId }.toSet() shouldHaveSize 4
            sent.calls shouldHaveSize 4
        }

        test("a ticket serves the boot it was given for, until it lapses") {
            val sent = Sent()
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            val call = sent.calls.single()
            sent.desk.answered(call.hostId, call.callId, AdviceResult.Given(mapOf("w1" to "t")), 10)
            sent.desk.ticket(stepId("s"), "w1", boot = 1, untilMs = 1_500)?.text shouldBe "t"
            sent.desk.ticket(stepId("s"), "w1", boot = 2, untilMs = 1_500) shouldBe null
            sent.desk.ticket(stepId("s"), "w1", boot = 1, untilMs = 2_500) shouldBe null
            sent.desk.ticket(stepId("s"), "w2", boot = 1, untilMs = 1_500) shouldBe null
        }

        test("a ticket that lapses before the others are renewed is renewed with them") {
            val sent = Sent()
            val step = stepId("s")
            val tickets = AdviceResult.Given(workers.associate { it.workerId to "t" })
            sent.desk.want(step, longTerms, workers.take(1), 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            sent.desk.answered(hosts[0], sent.calls[0].callId, tickets, 500)
            sent.desk.want(step, longTerms, workers.drop(1), 0.0, 500)
            sent.desk.dispatch(hosts, 500)
            sent.desk.answered(hosts[0], sent.calls[1].callId, tickets, 1_000)
            sent.desk.dropTicket(step, "w2")
            sent.desk.want(step, longTerms, workers, 0.0, 2_100)
            sent.desk.dispatch(hosts, 2_100)
            sent.calls.last().asked shouldBe workers
            sent.desk.ticket(step, "w1", boot = 1, untilMs = 2_200)?.text shouldBe "t"
        }

        test("a step that needs more workers than fit in a call waits for one call only") {
            val sent = Sent()
            val many = List(150) { Candidate("w$it", boot = 1) }
            sent.desk.want(stepId("s"), longTerms, many, 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            sent.calls.map { it.asked.size } shouldBe listOf(75, 75)
            sent.calls.map { it.hostId }.toSet() shouldHaveSize 2
        }

        test("choices are made for more steps than can call in a pass") {
            val sent = Sent()
            sent.desk.beginPass(hosts, 0)
            val prepared = (0 until 10).filter {
                val isOpen = sent.desk.hasOpenCall(shortTerms)
                if (isOpen) sent.desk.want(stepId("s$it"), shortTerms, workers, it.toDouble(), 0)
                isOpen
            }
            prepared shouldBe listOf(0, 1, 2, 3)
            sent.desk.dispatch(hosts, 0)
            sent.desk.beginPass(hosts, 1)
            sent.desk.hasOpenCall(shortTerms) shouldBe false
        }

        test("a step does not wait for the answer of a host that is gone") {
            val sent = Sent()
            sent.desk.want(stepId("s"), longTerms, workers, 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            val first = sent.calls.single()
            val others = hosts - first.hostId
            sent.desk.dispatch(others, 10)
            sent.calls shouldHaveSize 2
            sent.calls.last().asked shouldBe first.asked
        }

        test("a worker that the policy refuses is not asked about again") {
            val sent = Sent()
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            val call = sent.calls.single()
            sent.desk.answered(call.hostId, call.callId, AdviceResult.Given(mapOf("w1" to "t")), 10)
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 5_000)
            sent.desk.dispatch(hosts, 5_000)
            sent.calls.last().asked shouldBe listOf(Candidate("w1", 1))
        }

        test("the advice about an ended job is dropped") {
            val sent = Sent()
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            val call = sent.calls.single()
            sent.desk.answered(call.hostId, call.callId, AdviceResult.Given(mapOf("w1" to "t")), 10)
            sent.desk.forget("s")
            sent.desk.isAnswered(stepId("s")) shouldBe false
        }

        test("a call without an answer frees its host and is made again") {
            val sent = Sent()
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.desk.dispatch(listOf(hosts[0]), 0)
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 10_000)
            sent.desk.dispatch(listOf(hosts[0]), 10_000)
            sent.calls shouldHaveSize 2
            val late = AdviceResult.Given(mapOf("w1" to "late"))
            sent.desk.answered(hosts[0], sent.calls[0].callId, late, 10_001) shouldBe null
        }

        test("the log tells of a call under way when it is still queued") {
            val sent = Sent()
            repeat(3) { sent.desk.want(stepId("s$it"), shortTerms, workers, it.toDouble(), 0) }
            sent.desk.dispatch(listOf(hosts[0]), 0)
            val first = sent.desk.facts(stepId("s0"), 0)
            first.underWay shouldBe true
            first.calls shouldBe 1
            val last = sent.desk.facts(stepId("s2"), 0)
            last.underWay shouldBe false
            last.behind shouldBe 1
            last.calls shouldBe 0
        }

        test("the log counts lapsed tickets as held") {
            val sent = Sent()
            sent.desk.want(stepId("s"), shortTerms, workers, 0.0, 0)
            sent.desk.dispatch(hosts, 0)
            val call = sent.calls.single()
            val tickets = AdviceResult.Given(mapOf("w0" to "t", "w1" to "t"))
            sent.desk.answered(call.hostId, call.callId, tickets, 10)
            sent.desk.facts(stepId("s"), 20).ticketed shouldBe 2
            sent.desk.facts(stepId("s"), 2_500).ticketed shouldBe 0
            sent.desk.facts(stepId("s"), 2_500).asked shouldBe 3
            sent.desk.callsDone shouldBe 1
            sent.desk.callsUnderWay shouldBe 0
        }
    })
