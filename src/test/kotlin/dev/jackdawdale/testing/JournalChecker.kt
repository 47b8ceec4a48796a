package dev.jackdawdale.testing

import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.fitsInto
import dev.jackdawdale.model.minus
import dev.jackdawdale.model.plus
import dev.jackdawdale.standin.JournalEvent
import dev.jackdawdale.standin.JournalLine
import dev.jackdawdale.standin.Mark
import dev.jackdawdale.standin.snakeJson
import kotlinx.serialization.SerializationException

/** How long after `leaving` work that was placed earlier may still start (guarantee G6). */
internal const val LEAVE_BOUND_MS = 2_000L

/** Returns every violation of a guarantee that [evidence] shows. */
internal fun violations(evidence: Evidence): List<Violation> = with(evidence) {
    val lines = journals.sortedBy { it.atMs }
    capacityViolations(lines) + overlapViolations(lines) + tokenViolations(lines) +
        leaveViolations(lines) + answerViolations(answers) + notRunViolations(this) +
        repeatedRunViolations(this) + recordViolations(this)
}

private fun capacityViolations(lines: List<JournalLine>): List<Violation> =
    lines.groupBy { it.source }.values.flatMap(::capacityViolationsOfSource)

private fun capacityViolationsOfSource(lines: List<JournalLine>): List<Violation> {
    val found = mutableListOf<Violation>()
    val running = mutableMapOf<String, JournalLine>()
    var up: JournalLine? = null
    for (line in lines) {
        when (line.event) {
            JournalEvent.UP -> {
                up = line
                running.clear()
            }
            JournalEvent.DOWN -> running.clear()
            JournalEvent.START -> running[runKey(line)] = line
            JournalEvent.END, JournalEvent.STOP -> running.remove(runKey(line))
            else -> Unit
        }
        if (line.event == JournalEvent.START) overCapacity(up, running.values)?.let { found += it }
    }
    return found
}

private fun runKey(line: JournalLine) = "${line.workId ?: line.taskId}/${line.token}"

private fun overCapacity(up: JournalLine?, running: Collection<JournalLine>): Violation? {
    val capacity = up ?: return null
    val slots = capacity.slots
    val problem = if (slots != null) {
        "${running.size} requests in $slots slots".takeIf { running.size > slots }
    } else {
        val used = running.map(::resources).fold(Resources(), Resources::plus)
        "$used of ${resources(capacity)}".takeIf { !used.fitsInto(resources(capacity)) }
    }
    return problem?.let { Violation(Guarantee.OVER_CAPACITY, capacity.source, it) }
}

private fun resources(line: JournalLine) =
    Resources(line.cpuMillis ?: 0, line.memoryMib ?: 0, line.accelerators ?: 0)

private data class Span(val source: String, val fromMs: Long, val toMs: Long)

private fun overlapViolations(lines: List<JournalLine>): List<Violation> =
    taskSpans(lines).flatMap { (taskId, spans) ->
        spans.sortedBy { it.fromMs }.zipWithNext()
            .filter { (first, second) -> second.fromMs < first.toMs }
            .map { (first, second) ->
                val detail = "on ${first.source} until ${first.toMs}, " +
                    "on ${second.source} from ${second.fromMs}"
                Violation(Guarantee.TASK_IN_TWO_PLACES, taskId, detail)
            }
    }

private fun taskSpans(lines: List<JournalLine>): Map<String, List<Span>> {
    val spans = mutableMapOf<String, MutableList<Span>>()
    for (sourceLines in lines.groupBy { it.source }.values) {
        val open = mutableMapOf<String, JournalLine>()

        fun close(start: JournalLine, atMs: Long) {
            val taskId = start.taskId ?: return
            spans.getOrPut(taskId) { mutableListOf() } += Span(start.source, start.atMs, atMs)
        }
        for (line in sourceLines) {
            when (line.event) {
                JournalEvent.START -> if (line.taskId != null) open[runKey(line)] = line
                JournalEvent.END, JournalEvent.STOP ->
                    open.remove(runKey(line))?.let { close(it, line.atMs) }
                JournalEvent.UP, JournalEvent.DOWN -> {
                    open.values.forEach { close(it, line.atMs) }
                    open.clear()
                }
                else -> Unit
            }
        }
        open.values.forEach { close(it, Long.MAX_VALUE) }
    }
    return spans
}

private fun tokenViolations(lines: List<JournalLine>): List<Violation> =
    lines.filter { it.event == JournalEvent.START && it.taskId != null }
        .groupBy { it.taskId.orEmpty() }.flatMap { (taskId, starts) ->
            starts.zipWithNext().filter { (first, second) ->
                (second.token ?: 0) <= (first.token ?: 0)
            }.map { (first, second) ->
                val detail = "token ${second.token} started after ${first.token}"
                Violation(Guarantee.OLD_TOKEN_RAN, taskId, detail)
            }
        }

private fun leaveViolations(lines: List<JournalLine>): List<Violation> =
    lines.groupBy { it.source to it.incarnation }.values.flatMap { sourceLines ->
        val leftAtMs = sourceLines.firstOrNull { it.event == JournalEvent.LEAVING }?.atMs
            ?: return@flatMap emptyList()
        sourceLines.filter { it.event == JournalEvent.START && it.atMs > leftAtMs + LEAVE_BOUND_MS }
            .map {
                val detail = "${runKey(it)} started ${it.atMs - leftAtMs} ms after `leaving`"
                Violation(Guarantee.WORK_AFTER_LEAVE, it.source, detail)
            }
    }

private fun answerViolations(answers: List<CallerAnswer>): List<Violation> {
    val succeeded = answers.filter { it.outcome == "succeeded" && it.body != null }
    val wrong = succeeded.mapNotNull { answer -> markViolation(answer) }
    val unequal = succeeded.groupBy { it.workId }
        .filterValues { tries -> tries.map { it.body }.distinct().size > 1 }
        .map { (workId, tries) ->
            val detail = "${tries.size} answers to resends differ"
            Violation(Guarantee.WRONG_OR_PARTIAL_ANSWER, workId, detail)
        }
    return wrong + unequal
}

private fun markViolation(answer: CallerAnswer): Violation? {
    val mark = try {
        snakeJson.decodeFromString<Mark>(answer.body.orEmpty())
    } catch (e: SerializationException) {
        return Violation(
            Guarantee.WRONG_OR_PARTIAL_ANSWER,
            answer.workId,
            "the answer is not a complete mark: ${e.message}"
        )
    }
    val problem = when {
        mark.workId != answer.workId -> "the answer belongs to ${mark.workId}"
        mark.bodySha256 != answer.sentSha256 -> "the endpoint received a different body"
        else -> return null
    }
    return Violation(Guarantee.WRONG_OR_PARTIAL_ANSWER, answer.workId, problem)
}

private val notRunOutcomes = setOf("not_run", "deadline_exceeded")

private fun notRunViolations(evidence: Evidence): List<Violation> {
    val started = startedWork(evidence.journals)
    val byRecord = evidence.records
        .filter { it.outcome in notRunOutcomes || (it.outcome == "cancelled" && !it.mayHaveRun) }
        .map { it.workId to "the record says ${it.outcome}" }
    // One refused try proves nothing: a later try of the same id may have been accepted.
    val byAnswer = evidence.answers.groupBy { it.workId }
        .filterValues { tries -> tries.all { it.outcome in notRunOutcomes || it.ran == "no" } }
        .map { (workId, _) -> workId to "every answer says that the work was not run" }
    return (byRecord + byAnswer).filter { (workId, _) -> workId in started }
        .map { (workId, claim) -> Violation(Guarantee.NOT_RUN_BUT_RAN, workId, claim) }
}

private fun startedWork(lines: List<JournalLine>): Map<String, Int> =
    lines.filter { it.event == JournalEvent.START }
        .mapNotNull { it.workId ?: it.taskId?.substringBeforeLast('#') }
        .groupingBy { it }.eachCount()

private fun repeatedRunViolations(evidence: Evidence): List<Violation> {
    val nonIdempotent = evidence.answers.filter { !it.idempotent }.map { it.workId } +
        evidence.records.filter { !it.idempotent }.map { it.workId }
    val starts = evidence.journals.filter { it.event == JournalEvent.START }
        .groupingBy { it.workId }.eachCount()
    return nonIdempotent.distinct().filter { (starts[it] ?: 0) > 1 }.map {
        Violation(Guarantee.NON_IDEMPOTENT_RAN_TWICE, it, "started ${starts[it]} times")
    }
}

private fun recordViolations(evidence: Evidence): List<Violation> {
    val recorded = evidence.records.map { it.workId }.toSet()
    val started = startedWork(evidence.journals)
    val lost = evidence.answers.filter { evidence.recordsAreComplete && isAccepted(it) }
        .map { it.workId }.distinct().filter { it !in recorded }
        .map { Violation(Guarantee.LOST_WORK, it, "the work was accepted but has no record") }
    val neverStarted = evidence.records
        .filter { it.outcome == "succeeded" && it.workId !in started }
        .map { Violation(Guarantee.SUCCEEDED_WITHOUT_RUN, it.workId, "no journal has a start") }
    return lost + neverStarted
}

// Other labels are refusals or a lost answer: neither shows that the work was accepted.
private val acceptedOutcomes = setOf(
    "succeeded",
    "failed",
    "cancelled",
    "deadline_exceeded",
    "may_have_run",
    "cannot_run"
)

private fun isAccepted(answer: CallerAnswer): Boolean =
    answer.outcome in acceptedOutcomes || answer.status == HTTP_ACCEPTED

private const val HTTP_ACCEPTED = 202
