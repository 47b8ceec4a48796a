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
                RunTimeCase("constant run times give a wrong estimate", List(50) { 20L }, 19L..20L),
                RunTimeCase(
                    "one straggler in twenty makes the estimate of a short kind long",
                    List(200) { if (it % 20 == 7) 60_000L else 20L },
                    15L..60L
                ),
                RunTimeCase(
                    "a straggler as the first run dominates the estimate permanently",
                    listOf(60_000L) + List(60) { 20L },
                    15L..100L
                ),
                RunTimeCase(
                    "the estimate of a kind that became long stays short",
                    List(50) { 20L } + List(60) { 5_000L },
                    2_000L..5_000L
                ),
                RunTimeCase("the logarithm of a run of 0 ms is infinite", listOf(0L, 0L), 1L..1L)
            ) { case ->
                val measured = case.runsMs.fold(RunTimes()) { all, ms -> all.withRun(key, ms) }
                measured.typicalMs(key)!! shouldBeInRange case.expected
            }
        }

        test("callers fill the leader's memory by using ever new kinds") {
            val all = (0..MAX_RUN_TIME_KEYS).fold(RunTimes()) { known, index ->
                known.withRun(key.copy(kind = "kind-$index"), 10)
            }
            all.typicalMs(key.copy(kind = "kind-0")) shouldBe null
            all.typicalMs(key.copy(kind = "kind-$MAX_RUN_TIME_KEYS")) shouldBe 10
        }
    })
