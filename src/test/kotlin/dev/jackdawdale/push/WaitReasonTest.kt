package dev.jackdawdale.push

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private val step = WaitFacts(waiting = 20, tasks = 20, gang = true, usable = 100)

private class Row(
    val mistakenFor: String,
    val facts: WaitFacts,
    val reason: WaitReason,
    val text: String
)

class WaitReasonTest :
    FunSpec({
        withData(
            nameFn = { "the step is not explained by ${it.mistakenFor}" },
            Row(
                "missing tickets while it is paused",
                step.copy(
                    pausedForMs = 40,
                    chosen = 20,
                    missing = 3,
                    advice = AdviceFacts(asked = 100)
                ),
                WaitReason.PAUSED,
                "paused for 40 ms after a refusal"
            ),
            Row(
                "a lack of room before the adviser answered",
                step.copy(advice = AdviceFacts(behind = 7)),
                WaitReason.NO_ANSWER,
                "no answer of the adviser yet, 100 workers to ask about, " +
                    "call behind 7 steps, 0 calls made"
            ),
            Row(
                "missing advice when it needs none",
                step.copy(allowed = 100),
                WaitReason.NO_ROOM,
                "no room: 12 tasks fit on 100 allowed of 100 workers"
            ),
            Row(
                "missing advice while its runs only fail",
                step.copy(isFailing = true, advice = AdviceFacts()),
                WaitReason.FAILING,
                "its runs only fail, and the first ones are not decided"
            ),
            Row(
                "a full cell while room is kept for others",
                step.copy(allowed = 100, keptMillis = 48_000),
                WaitReason.NO_ROOM,
                "no room: 12 tasks fit on 100 allowed of 100 workers, kept for others 48000"
            ),
            Row(
                "missing tickets when the gang does not fit",
                step.copy(
                    allowed = 31,
                    advice = AdviceFacts(asked = 100, ticketed = 4, calls = 2)
                ),
                WaitReason.NO_ROOM,
                "no room: 12 tasks fit on 31 allowed of 100 workers, 100 asked, " +
                    "no call wanted, 2 calls made"
            ),
            Row(
                "a lack of room when workers are chosen",
                step.copy(
                    allowed = 31,
                    chosen = 20,
                    missing = 11,
                    advice = AdviceFacts(
                        asked = 100,
                        ticketed = 14,
                        callInFlight = true,
                        calls = 6,
                        lastAnswer = AnswerCoverage(chosen = 20, missing = 5, lapsed = 1, added = 3)
                    )
                ),
                WaitReason.NO_TICKETS,
                "tickets missing: 11 of 20 chosen workers, 14 of 31 allowed hold one, " +
                    "call under way, 6 calls made; " +
                    "after the last answer 5 of 20 missing, 1 lapsed, 3 chosen since the call began"
            ),
            Row(
                "a lack of room when some of the tasks fit and lack tickets",
                step.copy(
                    gang = false,
                    allowed = 31,
                    chosen = 4,
                    missing = 4,
                    advice = AdviceFacts(asked = 100, behind = 0, calls = 1)
                ),
                WaitReason.NO_TICKETS,
                "tickets missing: 4 of 4 chosen workers, 0 of 31 allowed hold one, " +
                    "call behind 0 steps, 1 calls made"
            )
        ) {
            it.facts.reason() shouldBe it.reason
            it.facts.describe { 12 } shouldBe it.text
        }

        test("a ticket that expired during a call is counted as a newly chosen worker") {
            answerCoverage(
                before = setOf("a", "b", "c"),
                asked = setOf("a"),
                chosen = setOf("a", "b", "d"),
                missing = setOf("b", "d")
            ) shouldBe AnswerCoverage(chosen = 3, missing = 2, lapsed = 1, added = 1)
        }

        test("a worker that the adviser refused is counted as expired or newly chosen") {
            answerCoverage(
                before = setOf("a", "b"),
                asked = setOf("a", "b"),
                chosen = setOf("a", "b"),
                missing = setOf("b")
            ) shouldBe AnswerCoverage(chosen = 2, missing = 1, lapsed = 0, added = 0)
        }
    })
