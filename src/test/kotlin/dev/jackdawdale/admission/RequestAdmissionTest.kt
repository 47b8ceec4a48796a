package dev.jackdawdale.admission

import dev.jackdawdale.bench.RequestCell
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WhenFull
import dev.jackdawdale.model.blob
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleEndpoint
import dev.jackdawdale.model.sampleRequest
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val host = HostId("e1")

private fun cell(vararg contracts: Contract, maxQueued: Int = 50_000): RequestCell {
    val cell = RequestCell(nowMs = 1_000, admissionSettings = AdmissionSettings(maxQueued))
    contracts.forEach { cell.append(Event.ContractChanged(ChangeId("c-${it.customerId}"), it)) }
    return cell
}

private fun RequestCell.refusalOf(spec: RequestSpec): Refusal? =
    (submit(spec, host) as? AdmissionDecision.Refused)?.refusal

private fun RequestCell.submitMany(customer: String, count: Int, deadlineMs: Long = 60_000) =
    repeat(count) { refusalOf(sampleRequest(customer, "$customer-$it", true, deadlineMs + it)) }

private data class RefusalCase(
    val name: String,
    val contract: Contract = sampleContract("sri"),
    val earlier: Int = 0,
    val spec: RequestSpec = sampleRequest("sri", "new"),
    val expected: Refusal?
)

private val sri = sampleContract("sri")

class RequestAdmissionTest :
    FunSpec({
        context("refusals") {
            withData(
                nameFn = { it.name },
                RefusalCase("a request within the contract is refused", expected = null),
                RefusalCase(
                    "a request without a contract is accepted",
                    contract = sampleContract("teku"),
                    expected = Refusal.NoContract(sri.customerId)
                ),
                RefusalCase(
                    "the rate limit of the contract is exceeded",
                    contract = sri.copy(requestBurst = 3, requestRatePerSec = 4),
                    earlier = 3,
                    expected = Refusal.LimitReached("request_rate_per_sec", 4, 250)
                ),
                RefusalCase(
                    "a refusal at rate 0 names a retry time that cannot succeed",
                    contract = sri.copy(requestBurst = 3, requestRatePerSec = 0),
                    earlier = 3,
                    expected = Refusal.LimitReached("request_rate_per_sec", 0, null)
                ),
                RefusalCase(
                    "an urgency that the contract does not allow is accepted",
                    contract = sri.copy(urgencies = setOf(Urgency.NORMAL)),
                    spec = sampleRequest("sri", "new").copy(urgency = Urgency.URGENT),
                    expected = Refusal.UrgencyNotAllowed(Urgency.URGENT)
                ),
                RefusalCase(
                    "a deadline beyond the contract's limit is accepted",
                    spec = sampleRequest("sri", "new", deadlineMs = 9_000_000),
                    expected = Refusal.LimitReached("max_deadline_ms", 3_600_000, null)
                ),
                RefusalCase(
                    "a request whose deadline has passed is accepted",
                    spec = sampleRequest("sri", "new", deadlineMs = 1_000),
                    expected = Refusal.Invalid("deadline_ms", "must be in the future")
                ),
                RefusalCase(
                    "a request that may never run is accepted and waits",
                    contract = sri.copy(maxRunningRequests = 0),
                    expected = Refusal.LimitReached("max_running_requests", 0, null)
                )
            ) { case ->
                val cell = cell(case.contract)
                cell.submitMany("sri", case.earlier)
                cell.refusalOf(case.spec) shouldBe case.expected
            }
        }

        test("a retry at the time that the refusal named is refused again") {
            val cell = cell(sri.copy(requestBurst = 1, requestRatePerSec = 4))
            cell.submitMany("sri", 1)
            cell.nowMs += 249
            cell.refusalOf(sampleRequest("sri", "new")).shouldNotBeNull()
            cell.nowMs += 1
            cell.refusalOf(sampleRequest("sri", "new")) shouldBe null
        }

        test("a new leader grants a used burst again") {
            val cell = cell(sri.copy(requestBurst = 50, requestRatePerSec = 10))
            cell.submitMany("sri", 50)
            cell.changeLeader()
            val admitted = (0 until 50).count {
                cell.refusalOf(sampleRequest("sri", "again-$it")) == null
            }
            admitted shouldBe 10
        }

        context("a full queue") {
            test("accepts more than the contract allows") {
                val cell = cell(sri.copy(maxQueuedRequests = 3))
                cell.submitMany("sri", 3)
                val refusal = cell.refusalOf(sampleRequest("sri", "new"))
                val limit = refusal.shouldBeInstanceOf<Refusal.LimitReached>()
                limit.limit shouldBe "max_queued_requests"
                limit.retryAfterMs.shouldNotBeNull()
            }

            test("sheds requests that can meet their deadline before overdue ones") {
                val cell = cell(sri.copy(maxQueuedRequests = 3))
                cell.submitMany("sri", 3, deadlineMs = 2_000)
                cell.nowMs = 2_002
                cell.refusalOf(sampleRequest("sri", "new")) shouldBe null
                cell.state.ended.keys.map { it.value } shouldBe listOf("sri/sri-0")
                cell.state.ended.values.first().outcome.shouldBeInstanceOf<Outcome.NotRun>()
            }

            test("lets one customer block all others") {
                val cell = cell(sri, sampleContract("teku"), maxQueued = 10)
                cell.submitMany("sri", 10)
                cell.refusalOf(sampleRequest("teku", "new")) shouldBe null
                cell.state.ended.keys.map { it.value } shouldBe listOf("sri/sri-9")
                cell.refusalOf(sampleRequest("sri", "new"))
                    .shouldBeInstanceOf<Refusal.CellFull>()
            }

            test("makes a request wait although its contract says to refuse it") {
                val cell = cell(sri.copy(whenFull = WhenFull.REFUSE))
                cell.refusalOf(sampleRequest("sri", "a")).shouldBeInstanceOf<Refusal.CellFull>()
                cell.append(Event.EndpointJoined(sampleEndpoint("p1", slots = 1)))
                cell.refusalOf(sampleRequest("sri", "b")) shouldBe null
                cell.refusalOf(sampleRequest("sri", "c")).shouldBeInstanceOf<Refusal.CellFull>()
            }
        }

        test("a request id reused for different work is treated as a resend") {
            val first = sampleRequest("sri", "a")
            isSameRequest(first, first.copy(deadlineMs = 99, urgency = Urgency.URGENT)) shouldBe
                true
            isSameRequest(first, first.copy(body = blob("other"))) shouldBe false
            isSameRequest(first, first.copy(idempotent = false)) shouldBe false
            isSameRequest(first, first.copy(kind = "plate")) shouldBe false
        }
    })
