package dev.jackdawdale.push

import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StepId
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private const val STALLED_MS = 1_500L
private const val NOW_MS = 100_000L

private fun id(index: Int) = StageTaskId(StepId("job-$index", 0, 0), index)

/** A run that started [ageMs] ago and last made progress [quietMs] ago. */
private fun run(index: Int, percent: Int, ageMs: Long = 2_000, quietMs: Long = 100) = RunProgress(
    id(index),
    estimatedMs = 2_000,
    percent = percent,
    resumed = false,
    gang = false,
    checkpoints = false,
    isFirst = true,
    sinceMs = NOW_MS - ageMs,
    progressMs = NOW_MS - quietMs,
    asOfMs = NOW_MS
)

private class MoveCase(val name: String, val runs: List<RunProgress>, val moves: Moves)

class RunProgressTest :
    FunSpec({
        context("runs are moved away from a worker that hangs or is slow, and from no other") {
            withData(
                nameFn = { it.name },
                MoveCase(
                    "healthy runs stay",
                    listOf(run(0, 90), run(1, 80)),
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "a run without progress",
                    listOf(run(0, 40, quietMs = 1_501)),
                    Moves(true, listOf(id(0)))
                ),
                MoveCase(
                    "a run at 100 percent whose end is not listed yet",
                    listOf(run(0, 100, quietMs = 1_501)),
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "a gang that waits for its members",
                    listOf(run(0, 0, quietMs = 3_000).copy(gang = true)),
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "one slow run among fast ones",
                    listOf(run(0, 10), run(1, 95), run(2, 90)),
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "a single slow run",
                    listOf(run(0, 10)),
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "all runs are slow",
                    listOf(run(0, 15), run(1, 12), run(2, 11)),
                    Moves(true, listOf(id(0), id(1), id(2)))
                ),
                MoveCase(
                    "a percentage from an old report doesn't make a run slow",
                    List(3) { run(it, 20).copy(asOfMs = NOW_MS - 1_500) },
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "the runs of one job with a wrong estimate",
                    List(3) { run(0, 10).copy(taskId = StageTaskId(StepId("job", 0, 0), it)) },
                    Moves(false, emptyList())
                ),
                MoveCase(
                    "a run that was moved before stays",
                    listOf(run(0, 15), run(1, 12), run(2, 11).copy(isFirst = false)),
                    Moves(true, listOf(id(0), id(1)))
                ),
                MoveCase(
                    "a slow run that is nearly done stays",
                    listOf(run(0, 20), run(1, 12), run(2, 90, ageMs = 13_000)),
                    Moves(true, listOf(id(0), id(1)))
                ),
                MoveCase(
                    "a resumed run doesn't show the worker's speed",
                    listOf(run(0, 15), run(1, 12), run(2, 11).copy(resumed = true)),
                    Moves(false, emptyList())
                )
            ) { case ->
                decideMoves(case.runs, STALLED_MS, NOW_MS) shouldBe case.moves
            }
        }
    })
