package dev.jackdawdale.push

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val NOW_MS = 50_000L
private val settings = PushSettings(
    reportWaitMs = 500,
    lossyReportWaitMs = 150,
    lossWindowMs = 3_000,
    reportRetryMs = 200
)

private data class WaitCase(
    val guardsAgainst: String,
    val isKnown: Boolean = true,
    val lostAgoMs: List<Long> = emptyList(),
    val expectedMs: Long
)

private data class RetryCase(val guardsAgainst: String, val failures: Int, val expectedMs: Long)

class ReportTimingTest :
    FunSpec({
        context("how long a worker may delay its report") {
            withData(
                nameFn = { it.guardsAgainst },
                WaitCase("frequent requests although no call was lost", expectedMs = 500),
                WaitCase(
                    "a lost request hides ends",
                    lostAgoMs = listOf(0),
                    expectedMs = 150
                ),
                WaitCase(
                    "one loss counts forever",
                    lostAgoMs = listOf(3_000),
                    expectedMs = 500
                ),
                WaitCase(
                    "a recent loss is ignored because of an older one",
                    lostAgoMs = listOf(9_000, 100),
                    expectedMs = 150
                ),
                WaitCase("a new leader waits for a run to end", isKnown = false, expectedMs = 0),
                WaitCase(
                    "an unreachable worker may delay its report",
                    isKnown = false,
                    lostAgoMs = listOf(10),
                    expectedMs = 0
                )
            ) { case ->
                val timing = ReportTiming(settings)
                case.lostAgoMs.forEach { timing.callLost(NOW_MS - it) }
                timing.waitMs(case.isKnown, NOW_MS) shouldBe case.expectedMs
            }
        }

        context("when a request without an answer is repeated") {
            withData(
                nameFn = { it.guardsAgainst },
                RetryCase("a pause follows a single lost request", 1, NOW_MS),
                RetryCase("a dead worker gets requests without a pause", 2, NOW_MS + 200),
                RetryCase("the pause grows with each lost request", 100, NOW_MS + 200)
            ) { case ->
                ReportTiming(settings).retryDueMs(case.failures, NOW_MS) shouldBe case.expectedMs
            }
        }
    })
