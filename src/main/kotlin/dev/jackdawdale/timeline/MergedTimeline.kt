package dev.jackdawdale.timeline

/** The events of one process, or why they could not be fetched. */
internal sealed interface HostTimelineResult {
    data class Reached(val timeline: HostTimeline) : HostTimelineResult

    data class Unreached(val host: String, val reason: String) : HostTimelineResult
}

/**
 * Events of several processes in causal order.
 *
 * @property gaps what may be missing and why: processes not reached, events overwritten
 */
internal data class MergedTimeline(val events: List<TimelineEvent>, val gaps: List<String>)

/** Merges the events of processes; each event is after all events that caused it. */
internal fun mergeTimelines(answers: List<HostTimelineResult>): MergedTimeline {
    val reached = answers.filterIsInstance<HostTimelineResult.Reached>().map { it.timeline }
    val unreached = answers.filterIsInstance<HostTimelineResult.Unreached>()
    val overwritten = reached.filter { it.dropped > 0 }
    return MergedTimeline(
        reached.flatMap { it.events }.distinct()
            .sortedWith(compareBy({ it.time }, { it.host })),
        unreached.map { "${it.host} was not reached: ${it.reason}" } +
            overwritten.map { "${it.host} has overwritten its ${it.dropped} oldest events" }
    )
}
