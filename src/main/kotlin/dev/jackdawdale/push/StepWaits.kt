package dev.jackdawdale.push

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.staged.StepId
import dev.jackdawdale.telemetry.DecisionLog
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger

/** Number of steps with a line in each report, those that have waited longest. */
internal const val LONGEST_WAITING = 20
private const val REPORT_EVERY_MS = 1_000L

/**
 * Logs why steps wait. Its lines have their own rate limit, so that frequent decision lines can't
 * displace them. Used on the control thread only.
 */
internal class StepWaits(log: Logger = LogManager.getLogger("dev.jackdawdale.push")) {
    private val lines = DecisionLog(log, LONGEST_WAITING)
    private val sinceMs = HashMap<String, Map<StepId, Long>>()
    private val answers = HashMap<StepId, AnswerCoverage>()
    private val chosen = HashMap<StepId, Set<String>>()
    private val recorded = LinkedHashMap<StepId, Pair<WaitFacts, () -> Int>>()
    private var dueMs = Long.MIN_VALUE

    /** Number of waiting steps at the last report, by reason. */
    var byReason: Map<WaitReason, Int> = emptyMap()
        private set

    /** The same for the steps of each customer. */
    var byCustomer: Map<CustomerId, Map<WaitReason, Int>> = emptyMap()
        private set

    /** Sets the waiting steps of a job to [steps]. */
    fun waiting(jobId: String, steps: List<StepId>, nowMs: Long) {
        val before = sinceMs[jobId].orEmpty()
        if (steps.isEmpty()) {
            sinceMs.remove(jobId)
        } else {
            sinceMs[jobId] = steps.associateWith { before[it] ?: nowMs }
        }
        before.keys.filter { it !in steps }.forEach {
            answers.remove(it)
            chosen.remove(it)
        }
    }

    /** Whether a report is due in this pass. */
    fun isDue(nowMs: Long): Boolean = nowMs >= dueMs

    /** Records the [workers] chosen in this pass for a step without a call in flight. */
    fun chosenBeforeCall(stepId: StepId, workers: Set<String>) {
        chosen[stepId] = workers
    }

    /** The workers that were chosen for the step when its last call was sent. */
    fun chosenBeforeCall(stepId: StepId): Set<String> = chosen[stepId].orEmpty()

    /** Records how much of the choice in this pass the answer about the step covered. */
    fun recordAnswer(stepId: StepId, coverage: AnswerCoverage) {
        answers[stepId] = coverage
    }

    /**
     * Records the state of a waiting step in this pass.
     *
     * @param fitting computes the number of tasks that fit on the allowed workers
     */
    fun record(stepId: StepId, facts: WaitFacts, fitting: () -> Int) {
        recorded[stepId] = facts to fitting
    }

    /** Logs the steps that still wait, with the [advice] about each. */
    fun report(nowMs: Long, advice: (StepId) -> AdviceFacts) {
        dueMs = nowMs + REPORT_EVERY_MS
        val waits = recorded.mapNotNull { (stepId, found) ->
            val since = sinceMs[stepId.jobId]?.get(stepId) ?: return@mapNotNull null
            val (facts, fitting) = found
            val known = facts.advice?.let { advice(stepId).copy(lastAnswer = answers[stepId]) }
            Wait(stepId, since, facts.copy(advice = known), fitting)
        }
        recorded.clear()
        byReason = waits.countByReason()
        byCustomer = waits.filter { it.facts.customerId != null }
            .groupBy { checkNotNull(it.facts.customerId) }
            .mapValues { (_, ofCustomer) -> ofCustomer.countByReason() }
        waits.sortedBy { it.sinceMs }.take(LONGEST_WAITING).forEach { wait ->
            lines.line(nowMs, wait.stepId.jobId) {
                val facts = wait.facts
                val gang = if (facts.gang) ", gang" else ""
                val idle = if (facts.idleMs > 0) ", no run for ${facts.idleMs} ms" else ""
                "step ${wait.stepId.step} waits ${nowMs - wait.sinceMs} ms, " +
                    "${facts.waiting} of ${facts.tasks} tasks$gang$idle: " +
                    facts.describe(wait.fitting)
            }
        }
    }

    private fun List<Wait>.countByReason() = groupingBy { it.facts.reason() }.eachCount()

    private class Wait(
        val stepId: StepId,
        val sinceMs: Long,
        val facts: WaitFacts,
        val fitting: () -> Int
    )
}
