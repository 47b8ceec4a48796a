package dev.jackdawdale.push

import dev.jackdawdale.staged.StepId
import dev.jackdawdale.telemetry.DecisionLog
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger

/** Waiting steps that get a line in each report, those that wait longest. */
internal const val LONGEST_WAITING = 20
private const val REPORT_EVERY_MS = 1_000L

/**
 * Explains in the log why steps wait. Its lines have a bound of their own, so the frequent lines
 * about decisions can't displace them. Used on the control thread only.
 */
internal class StepWaits(log: Logger = LogManager.getLogger("dev.jackdawdale.push")) {
    private val lines = DecisionLog(log, LONGEST_WAITING)
    private val sinceMs = HashMap<String, Map<StepId, Long>>()
    private val answers = HashMap<StepId, AnswerUse>()
    private val chosen = HashMap<StepId, Set<String>>()
    private val seen = LinkedHashMap<StepId, Pair<WaitFacts, () -> Int>>()
    private var dueMs = Long.MIN_VALUE

    /** Steps that waited at the last report, by reason. */
    var byReason: Map<WaitReason, Int> = emptyMap()
        private set

    /** [steps] are all of the job that wait now. */
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

    /** Whether this pass is to end with a report. */
    fun isDue(nowMs: Long): Boolean = nowMs >= dueMs

    /** The step's [workers] were chosen in this pass, and no call for it is under way. */
    fun chosenBeforeCall(stepId: StepId, workers: Set<String>) {
        chosen[stepId] = workers
    }

    /** The workers that were chosen for the step when its last call began. */
    fun chosenBeforeCall(stepId: StepId): Set<String> = chosen[stepId].orEmpty()

    /** An answer about the step came in this pass and served the choice as [use] tells. */
    fun answerUsed(stepId: StepId, use: AnswerUse) {
        answers[stepId] = use
    }

    /**
     * What this pass found about a step.
     *
     * @param fitting tasks that fit on the allowed workers
     */
    fun found(stepId: StepId, facts: WaitFacts, fitting: () -> Int) {
        seen[stepId] = facts to fitting
    }

    /** Writes the lines about the steps that still wait, with what [advice] is known of each. */
    fun report(nowMs: Long, advice: (StepId) -> AdviceFacts) {
        dueMs = nowMs + REPORT_EVERY_MS
        val waits = seen.mapNotNull { (stepId, found) ->
            val since = sinceMs[stepId.jobId]?.get(stepId) ?: return@mapNotNull null
            val (facts, fitting) = found
            val known = facts.advice?.let { advice(stepId).copy(lastAnswer = answers[stepId]) }
            Wait(stepId, since, facts.copy(advice = known), fitting)
        }
        seen.clear()
        byReason = waits.groupingBy { it.facts.reason() }.eachCount()
        waits.sortedBy { it.sinceMs }.take(LONGEST_WAITING).forEach { wait ->
            lines.line(nowMs, wait.stepId.jobId) {
                val facts = wait.facts
                val gang = if (facts.gang) ", gang" else ""
                "step ${wait.stepId.step} waits ${nowMs - wait.sinceMs} ms, " +
                    "${facts.waiting} of ${facts.tasks} tasks$gang: ${facts.describe(wait.fitting)}"
            }
        }
    }

    private class Wait(
        val stepId: StepId,
        val sinceMs: Long,
        val facts: WaitFacts,
        val fitting: () -> Int
    )
}
