package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private class RefusalCase(val name: String, val refusal: Refusal, val status: Int, val ran: Ran)

/** Each test is named after the failure that it guards against. */
class ErrorsTest :
    FunSpec({
        withData(
            nameFn = { it.name },
            RefusalCase(
                "a host without a leader claims that a resent request was not run",
                Refusal.Unavailable("no control leader", 1_000),
                503,
                Ran.UNKNOWN
            ),
            RefusalCase(
                "a request over a limit is reported as possibly run",
                Refusal.LimitReached("request_rate_per_sec", 10, 100),
                429,
                Ran.NO
            ),
            RefusalCase(
                "a request to a full cell is reported as possibly run",
                Refusal.CellFull(500),
                503,
                Ran.NO
            ),
            RefusalCase(
                "a missing contract is reported as a server fault",
                Refusal.NoContract(CustomerId("acme")),
                403,
                Ran.NO
            ),
            RefusalCase(
                "an urgency that the contract forbids is reported as malformed",
                Refusal.UrgencyNotAllowed(Urgency.URGENT),
                403,
                Ran.NO
            ),
            RefusalCase(
                "a reused request id is taken for a resend",
                Refusal.RequestIdReused(WorkId("acme/r1")),
                409,
                Ran.NO
            )
        ) { case ->
            val error = case.refusal.toError()
            error.status to error.ran shouldBe (case.status to case.ran)
        }

        test("a host that cannot reach the leader claims that nothing ran") {
            unavailable("draining", "this host is stopping").ran shouldBe Ran.UNKNOWN
        }
    })
