package dev.jackdawdale.push

import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StepSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe

private const val CLOCK_BEHIND_MS = 6_000L
private const val WORKER_CLOCK_MS = 500_000L

class LeaderClockTest :
    FunSpec({
        test("a leader whose clock is behind the log sends no orders, or only expired ones") {
            val starts = ArrayList<StartOrder>()
            val requests = ArrayList<ReportRequest>()
            val leader = LeaderFixture(
                term = 2,
                listOf(
                    StagedEvent.WorkerRegistered(testWorker),
                    acceptedJob(StepSpec(taskCount = 1, perTask = Resources(1_000, 64)))
                ),
                WorkerClient(
                    start = { _, order, _ -> starts += order },
                    stop = { _, _, _, _, _ -> },
                    report = { _, request, onResult ->
                        requests += request
                        val report = RunReport(1, WORKER_CLOCK_MS, emptyList(), emptyList())
                        onResult(ReportResult.Reported(report))
                    }
                ),
                clockBehindMs = CLOCK_BEHIND_MS
            )
            leader.runPasses(3)
            requests.shouldNotBeEmpty()
            starts.map { it.validUntilMs } shouldBe
                listOf(WORKER_CLOCK_MS + PushSettings().startValidMs)
        }
    })
