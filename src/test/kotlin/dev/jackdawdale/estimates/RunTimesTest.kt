package dev.jackdawdale.estimates

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.ServiceName
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

private data class RunTimeCase(val name: String, val runsMs: List<Long>, val expected: LongRange)

class RunTimesTest :
    FunSpec({
        val key = RunTimeKey(CustomerId("sri"), ServiceName("planning"), "check")

        context("typical run time") {
            withData(
                nameFn = { it.name },
                RunTimeCase("a steady kind is misjudged", List(50) { 20L }, 19L..20L),
                RunTimeCase(
                    "one straggler in twenty makes a short kind long",
                    List(200) { if (it % 20 == 7) 60_000L else 20L },
                    15L..60L
                ),
                RunTimeCase(
                    "a straggler at the first run marks the kind for good",
                    listOf(60_000L) + List(60) { 20L },
                    15L..100L
                ),
                RunTimeCase(
                    "a kind that became long is never noticed",
                    List(50) { 20L } + List(60) { 5_000L },
                    2_000L..5_000L
                ),
                RunTimeCase("a run of 0 ms breaks the logarithm", listOf(0L, 0L), 1L..1L)
            ) { case ->
                val measured = case.runsMs.fold(RunTimes()) { all, ms -> all.measured(key, ms) }
                measured.typicalMs(key)!! shouldBeInRange case.expected
            }
        }

        test("callers that invent kinds must not fill the leader's memory") {
            val all = (0..MAX_RUN_TIME_KEYS).fold(RunTimes()) { known, index ->
                known.measured(key.copy(kind = "kind-$index"), 10)
            }
            all.typicalMs(key.copy(kind = "kind-0")) shouldBe null
            all.typicalMs(key.copy(kind = "kind-$MAX_RUN_TIME_KEYS")) shouldBe 10
        }
    })
