package dev.jackdawdale.admission

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TokenHash
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.label
import dev.jackdawdale.model.sampleContract
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private data class InvalidCase(val name: String, val field: String, val contract: Contract)

private val valid = sampleContract("sri", version = 0)

private fun decide(state: CellState, id: String, expected: Long, contract: Contract = valid) =
    decideContractChange(state, ChangeId(id), expected, contract, nowMs = 5)

private fun CellState.changed(id: String, expected: Long, contract: Contract = valid): CellState {
    val decision = decide(this, id, expected, contract)
    return apply(decision.shouldBeInstanceOf<ContractDecision.Changed>().event, 5)
}

class ContractChangeTest :
    FunSpec({
        test("a change does not increase the version") {
            val state = CellState().changed("c1", 0).changed("c2", 1)
            state.contracts[valid.customerId]?.version shouldBe 2
        }

        test("two changes with the same expected version are both accepted") {
            val state = CellState().changed("c1", 0)
            val decision = decide(state, "c2", 0).shouldBeInstanceOf<ContractDecision.Refused>()
            decision.refusal shouldBe Refusal.VersionConflict(0, 1, ChangeId("c1"))
        }

        test("a resent change is applied again or refused as a conflict") {
            val state = CellState().changed("c1", 0).changed("c2", 1)
            val decision = decide(state, "c1", 0)
            decision.shouldBeInstanceOf<ContractDecision.AlreadyApplied>().change.version shouldBe 1
        }

        test("a change id reused for another customer gets that customer's answer") {
            val state = CellState().changed("c1", 0)
            val other = decide(state, "c1", 0, sampleContract("teku"))
            other.shouldBeInstanceOf<ContractDecision.Refused>().refusal.label shouldBe "invalid"
        }

        context("an invalid contract is accepted") {
            withData(
                nameFn = { it.name },
                InvalidCase("negative ceiling", "ceiling", valid.copy(ceiling = Resources(-1))),
                InvalidCase(
                    "ceiling so large that sums overflow",
                    "ceiling",
                    valid.copy(ceiling = Resources(Long.MAX_VALUE))
                ),
                InvalidCase(
                    "guarantee above the ceiling",
                    "guaranteed",
                    valid.copy(guaranteed = Resources(1_000_000, 0, 0))
                ),
                InvalidCase(
                    "negative rate drains the bucket",
                    "request_rate_per_sec",
                    valid.copy(requestRatePerSec = -1)
                ),
                InvalidCase("negative burst", "request_burst", valid.copy(requestBurst = -1)),
                InvalidCase(
                    "negative queue limit",
                    "max_queued_requests",
                    valid.copy(maxQueuedRequests = -1)
                ),
                InvalidCase(
                    "count above the bound",
                    "max_running_tasks",
                    valid.copy(maxRunningTasks = Int.MAX_VALUE)
                ),
                InvalidCase("weight 0 causes a division by zero", "weight", valid.copy(weight = 0)),
                InvalidCase("no urgency allowed", "urgencies", valid.copy(urgencies = emptySet())),
                InvalidCase("no deadline", "max_deadline_ms", valid.copy(maxDeadlineMs = 0)),
                InvalidCase(
                    "token in place of its hash",
                    "token_hashes",
                    valid.copy(tokenHashes = listOf(TokenHash("ab", "secret")))
                ),
                InvalidCase(
                    "customer id with a slash collides with another customer's work ids",
                    "customer_id",
                    sampleContract("sri/x")
                ),
                InvalidCase(
                    "customer id with a colon breaks the parsing of bearer tokens",
                    "customer_id",
                    sampleContract("sri:x")
                )
            ) { case ->
                val decision = decide(CellState(), "c1", 0, case.contract)
                val refusal = decision.shouldBeInstanceOf<ContractDecision.Refused>().refusal
                refusal.shouldBeInstanceOf<Refusal.Invalid>().field shouldBe case.field
            }
        }
    })
