package dev.jackdawdale.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private const val BEGAN_MS = 40_000L
private const val MAX_HOLD_MS = 6_000L
private const val TASK = "5c0e7a21d94b36f8.0.0.0"

private fun order(run: Int = 1, deadlineMs: Long = 5_000, token: Long = 1) =
    StandInOrder(TASK, run, deadlineMs, token)

/** What a life has done by [atMs] after its begin; its clock is slower by [slowShare]. */
private class LifeCase(
    val guardsAgainst: String,
    val atMs: Long = 0,
    val slowShare: Double = 0.0,
    val happens: StandInLife.(nowMs: Long) -> List<Any?>,
    val expected: List<Any?>
)

private val cases = listOf(
    LifeCase(
        "a lease longer than the maximum ends a run too early",
        atMs = 6_000,
        happens = { nowMs ->
            start(order(deadlineMs = 500_000), BEGAN_MS)
            endLapsed(nowMs)
            running
        },
        expected = listOf(StandInRun(TASK, 1))
    ),
    LifeCase(
        "a lease is longer than the maximum",
        atMs = 6_001,
        happens = { nowMs ->
            start(order(deadlineMs = 500_000), BEGAN_MS)
            endLapsed(nowMs)
            ended
        },
        expected = listOf(StandInEnd(1, TASK, 1, "lapsed"))
    ),
    LifeCase(
        "a lease on a slow clock ends by the host's",
        atMs = 6_122,
        slowShare = 0.02,
        happens = { nowMs ->
            start(order(deadlineMs = 500_000), BEGAN_MS)
            endLapsed(nowMs)
            running
        },
        expected = listOf(StandInRun(TASK, 1))
    ),
    LifeCase(
        "a later call shortens the lease",
        atMs = 5_000,
        happens = { nowMs ->
            start(order(), BEGAN_MS)
            hold(fencingToken = 1, deadlineMs = 100, cursor = 0, BEGAN_MS)
            endLapsed(nowMs)
            running
        },
        expected = listOf(StandInRun(TASK, 1))
    ),
    LifeCase(
        "an order refused as old doesn't extend the lease",
        atMs = 5_000,
        happens = { nowMs ->
            val other = StandInOrder("$TASK.1", 1, 1_000, 1)
            stop(TASK, 1, 1)
            val answers = listOf(start(other, BEGAN_MS), start(order(), BEGAN_MS))
            endLapsed(nowMs)
            answers + running.map { it.task }
        },
        expected = listOf(null, "old", "$TASK.1")
    ),
    LifeCase(
        "a call with a lower token has an effect",
        atMs = 1_500,
        happens = { nowMs ->
            val answers = listOf(
                start(order(deadlineMs = 1_000, token = 2), BEGAN_MS),
                start(order(run = 2), BEGAN_MS)
            )
            stop(TASK, 1, fencingToken = 1)
            hold(fencingToken = 1, deadlineMs = 5_000, cursor = 9, BEGAN_MS)
            endLapsed(nowMs)
            answers + ended.map { it.kind }
        },
        expected = listOf(null, "fence", "lapsed")
    ),
    LifeCase(
        "a late order starts a run",
        atMs = 5_001,
        happens = { nowMs -> listOf(start(order(), nowMs)) + running },
        expected = listOf("late")
    ),
    LifeCase(
        "a run starts again after its end",
        happens = { nowMs ->
            start(order(), nowMs)
            finish(TASK, 1)
            listOf(start(order(), nowMs), start(order(run = 2), nowMs))
        },
        expected = listOf("old", null)
    ),
    LifeCase(
        "ends beyond the cursor are forgotten",
        happens = { nowMs ->
            start(order(), nowMs)
            finish(TASK, 1)
            start(order(run = 2), nowMs)
            finish(TASK, 2)
            hold(fencingToken = 1, deadlineMs = null, cursor = 1, nowMs)
            ended
        },
        expected = listOf(StandInEnd(2, TASK, 2, "done"))
    )
)

class StandInLifeTest :
    FunSpec({
        context("a stand-in worker departs from the protocol") {
            withData(nameFn = { it.guardsAgainst }, cases) { case ->
                val life = StandInLife(BEGAN_MS, MAX_HOLD_MS, case.slowShare)
                case.happens(life, BEGAN_MS + case.atMs) shouldBe case.expected
            }
        }

        test("a worker that starts again reports its former clock, count or start time") {
            var nowMs = BEGAN_MS
            StandInWorker("i-1", firstClockMs = 500_000, clock = { nowMs }).use { worker ->
                val first = wireObject(worker.reportBody("planning").encodeToByteArray())
                worker.reportBody("planning") shouldContain "\"sequence\":2"
                nowMs += 700
                worker.restart()
                nowMs += 30
                val second = wireObject(worker.reportBody("planning").encodeToByteArray())
                listOf(first, second).map { it.long("clockMs") } shouldBe listOf(500_000, 30)
                listOf(first, second).map { it.long("sequence") } shouldBe listOf(1, 1)
                (second.long("born") > first.long("born")) shouldBe true
                second.text("address") shouldBe first.text("address")
                worker.events.shouldBeEmpty()
            }
        }
    })
