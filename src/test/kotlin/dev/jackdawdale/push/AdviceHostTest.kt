package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.StepId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldNotBe

private val terms = AdviceTerms(decisionMs = 7.0, perWorkerMs = 0.1, validMs = 2_000)
private val workers = listOf(Candidate("w1", boot = 1))
private val hosts = List(4) { HostId("h$it") }
private val stepId = StepId("s", 0, 0)

class AdviceHostTest :
    FunSpec({
        fun secondHost(fail: (AdviceScheduler, AdviceCall) -> Unit, secondMs: Long): HostId {
            val calls = ArrayList<AdviceCall>()
            val scheduler = AdviceScheduler {
                calls += it
                true
            }
            scheduler.request(stepId, terms, workers, 0.0, 0)
            scheduler.dispatch(hosts, 0)
            val first = calls.single()
            fail(scheduler, first)
            scheduler.request(stepId, terms, workers, 0.0, secondMs)
            scheduler.dispatch(hosts, secondMs)
            calls.last() shouldNotBe first
            calls.last().hostId shouldNotBe first.hostId
            return calls.last().hostId
        }

        test("a host that did not answer gets the most urgent step again") {
            secondHost({ _, _ -> }, secondMs = 10_000)
        }

        test("a host that can't reach the adviser gets the most urgent step again") {
            val failed = AdviceResult.Failed("cannot connect")
            secondHost(
                { scheduler, call -> scheduler.answered(call.hostId, call.callId, failed, 5) },
                secondMs = 20
            )
        }
    })
