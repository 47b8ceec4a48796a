package dev.jackdawdale.push

import dev.jackdawdale.staged.AdviceTerms
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

private const val VALID_MS = 1_500L

/** Of 33 hosts, those that are left while some are killed and others are slow. */
private const val HOSTS = 19

/** No kind may be served less than this share of what the best-served one is. */
private const val LEAST_OF_BEST = 0.6

private val workers = List(245) {
    testWorker.copy(
        workerId = "w$it",
        address = "127.0.0.1:$it",
        cpuMillis = 16_000,
        memoryMib = 32_768,
        labels = listOf("a", "r${it / 8}")
    )
}

private val wide = JobKind(
    queue("wide", stretch = 2.2, targetMs = 1_000, AdviceTerms(455.0, 6.5, VALID_MS)),
    jobsPerS = 4.13,
    steps = 1.2,
    width = 20.0,
    maxWidth = 120,
    cpuMillis = 4_500.0,
    memoryMib = 6_300.0,
    runMs = 4_000.0,
    gangShare = 1.0,
    allowedPercent = 25
)
private val medium = JobKind(
    queue("medium", stretch = 4.0, targetMs = 3_000, AdviceTerms(130.0, 1.82, VALID_MS)),
    jobsPerS = 6.9,
    steps = 1.5,
    width = 25.0,
    maxWidth = 150,
    cpuMillis = 1_700.0,
    memoryMib = 1_800.0,
    runMs = 2_700.0,
    gangShare = 0.0,
    allowedPercent = 45
)
private val small = JobKind(
    queue("small", stretch = 1.5, targetMs = 250, AdviceTerms(14.3, 0.208, VALID_MS)),
    jobsPerS = 61.8,
    steps = 1.0,
    width = 3.2,
    maxWidth = 19,
    cpuMillis = 2_500.0,
    memoryMib = 4_600.0,
    runMs = 1_000.0,
    gangShare = 0.3,
    allowedPercent = 70
)

/** Bursts of each kind in turn over a cell that is nearly full. */
private fun MixedLoad.runBursts(cell: SimulatedCell) {
    run(cell, 3_000)
    run(cell, 6_000, burstOf = "medium", burstFactor = 2.0)
    run(cell, 4_000, burstOf = "small", burstFactor = 1.9)
    run(cell, 6_000)
    run(cell, 4_000, burstOf = "wide", burstFactor = 1.7)
    run(cell, 10_000)
}

class AdviceBurstTest :
    FunSpec({
        context("a kind of job starves in bursts, as the calls of another take all hosts") {
            withData(nameFn = { "seed $it" }, 1, 2, 3) { seed ->
                val load = MixedLoad(listOf(wide, medium, small), seed)
                val cell = SimulatedCell(
                    workers,
                    HOSTS,
                    load.allowedPercent(),
                    adviserDelayMs = 30,
                    runMs = { load.runMs(it.stepId.jobId) }
                )
                cell.advance(1_000)
                load.runBursts(cell)
                cell.advance(14_000)
                val outcomes = load.outcomes(cell)
                val shares = outcomes.values.map { it.onTime.toDouble() / it.jobs }
                withClue("$outcomes") {
                    shares.min() shouldBeGreaterThanOrEqual LEAST_OF_BEST * shares.max()
                }
                cell.overfilled shouldBe 0
            }
        }
    })
