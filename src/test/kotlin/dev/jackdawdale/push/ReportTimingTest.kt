package dev.jackdawdale.push

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val NOW_MS = 50_000L
private val settings = PushSettings(
    reportWaitMs = 500,
    lossyReportWaitMs = 150,
    lossKeptMs = 3_000,
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
        context("how long a worker may hold its report back") {
            withData(
                nameFn = { it.guardsAgainst },
                WaitCase("many questions on a calm day", expectedMs = 500),
                WaitCase("ends hidden by a lost question", lostAgoMs = listOf(0), expectedMs = 150),
                WaitCase("one loss counts for ever", lostAgoMs = listOf(3_000), expectedMs = 500),
                WaitCase(
                    "a loss forgotten because of an older one",
                    lostAgoMs = listOf(9_000, 100),
                    expectedMs = 150
                ),
                WaitCase("a new leader waits for news", isKnown = false, expectedMs = 0),
                WaitCase(
                    "a worker that was lost is not looked at at once",
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

        context("when a question without an answer is repeated") {
            withData(
                nameFn = { it.guardsAgainst },
                RetryCase("a single loss costs more than one answer time", 1, NOW_MS),
                RetryCase("a dead worker is asked without a pause", 2, NOW_MS + 200),
                RetryCase("the pause grows without a bound", 100, NOW_MS + 200)
            ) { case ->
                ReportTiming(settings).retryDueMs(case.failures, NOW_MS) shouldBe case.expectedMs
            }
        }
    })
