package dev.jackdawdale.push

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Resources
import dev.jackdawdale.staged.AdviceResult
import dev.jackdawdale.staged.AdviceTerms
import dev.jackdawdale.staged.Occurrence
import dev.jackdawdale.staged.StageStep
import dev.jackdawdale.staged.StageTask
import dev.jackdawdale.staged.StagedJob
import dev.jackdawdale.staged.StepSpec
import dev.jackdawdale.telemetry.DecisionLog
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.apache.logging.log4j.LogManager

private const val ACCEPTED_MS = 20_000L

/** Both gangs have been late for more than 5 s. */
private const val NOW_MS = 60_000L
private val hosts = setOf(HostId("h1"), HostId("h2"))
private val advice = AdviceTerms(decisionMs = 500.0, perWorkerMs = 1.0, validMs = 2_000)
private val links = List(8) {
    WorkerLink(testWorker.copy(workerId = "w$it"), inheritedUntilMs = 0, nowMs = 0)
}

private fun gang(jobId: String, acceptedMs: Long): ReadyStep {
    val spec = StepSpec(3, Resources(60_000, 64), estimatedMs = 1_000, gang = true)
    val job = acceptedJob(spec)
    val begun = Occurrence(0, listOf(StageStep(List(spec.taskCount) { StageTask() })))
    return readySteps(
        StagedJob(
            job.spec.copy(jobId = jobId),
            job.terms.copy(advice = advice),
            acceptedMs,
            occurrences = listOf(begun)
        )
    ).single()
}

/** @property plans the workers that are kept for each gang */
private class OverdueCase(
    val guardsAgainst: String,
    val isWhole: Boolean,
    val isAnswered: Boolean,
    val plans: List<Set<String>?>
)

/** The workers on which a gang has asked for tickets, of eight that are free. */
private val asked = links.take(3)

private fun plansBeside(case: OverdueCase): List<Set<String>?> {
    val calls = ArrayList<AdviceCall>()
    val context = LeaderContext(
        term = 1,
        PushSettings(),
        LeaderDependencies(
            WorkerClient({ _, _, _ -> }, { _, _, _, _, _ -> }, { _, _, _ -> }),
            submit = {},
            quorumHeardMs = { NOW_MS },
            clock = { NOW_MS },
            adviceHosts = { hosts },
            askAdvice = calls::add
        ),
        DecisionLog(LogManager.getLogger("test")),
        NOW_MS,
        emit = { _, _ -> },
        endRun = { _, _, _ -> }
    )
    links.forEach { context.links[it.worker.workerId] = it }
    val usable = mapOf(testWorker.service to links)
    val gangs = listOf(gang("a", ACCEPTED_MS), gang("b", ACCEPTED_MS + 1))
    fun ask(step: ReadyStep, workers: List<WorkerLink>) {
        context.advice.beginPass(hosts, NOW_MS)
        context.advice.request(step.id, advice, workers.map { it.candidate }, 0.0, NOW_MS)
        context.advice.dispatch(hosts, NOW_MS)
    }
    fun answer() = calls.removeLast().let { call ->
        val tickets = call.asked.associate { it.workerId to "t" }
        context.advice.answered(call.hostId, call.callId, AdviceResult.Given(tickets), NOW_MS)
    }
    gangs.forEach {
        ask(it, links)
        answer()
        links.forEach { link -> context.advice.dropTicket(it.id, link.worker.workerId) }
    }
    val reservations = StepReservations(context)
    val first = gangs.first()
    reservations.beginPass(gangs, usable, NOW_MS)
    ask(first, asked)
    reservations.keepDuringCall(first.id, asked.map { it.worker.workerId }, case.isWhole)
    reservations.endPass()
    if (case.isAnswered) answer()
    reservations.beginPass(gangs, usable, NOW_MS)
    return gangs.map { reservations.planOf(it.id)?.workerIds?.toSet() }
}

class OverdueGangsTest :
    FunSpec({
        context("which of two overdue gangs has a plan while the first one has asked") {
            withData(
                nameFn = { it.guardsAgainst },
                OverdueCase(
                    "each of them keeps a part of the room, and neither starts",
                    isWhole = false,
                    isAnswered = false,
                    listOf(null, null)
                ),
                OverdueCase(
                    "one that is about to start bars the next one",
                    isWhole = true,
                    isAnswered = false,
                    listOf(null, setOf("w3", "w4", "w5"))
                ),
                OverdueCase(
                    "its next plan is for other workers than those of its tickets",
                    isWhole = false,
                    isAnswered = true,
                    listOf(setOf("w0", "w1", "w2"), null)
                )
            ) { case -> plansBeside(case) shouldBe case.plans }
        }
    })
