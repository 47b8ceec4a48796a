package dev.jackdawdale.timeline

import java.time.Instant
import kotlinx.serialization.json.JsonArrayBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** One line per event, then one line per gap. */
internal fun MergedTimeline.toText(): String = buildString {
    val hostWidth = events.maxOfOrNull { it.host.length } ?: 0
    val kindWidth = events.maxOfOrNull { it.kind.name.length } ?: 0
    for (event in events) {
        append(Instant.ofEpochMilli(event.time.wallMs)).append(" +").append(event.time.counter)
        append("  ").append(event.host.padEnd(hostWidth))
        append("  ").append(event.kind.name.lowercase().padEnd(kindWidth))
        append("  ").append(event.subjects.joinToString(" "))
        if (event.details.isNotEmpty()) append("  ").append(event.details)
        appendLine()
    }
    gaps.forEach { appendLine("incomplete: $it") }
}

/** A JSON object with the arrays `events` and `gaps`. */
internal fun MergedTimeline.toJson(): String = buildJsonObject {
    putJsonArray("events") { events.forEach { add(timelineJson.encodeToJsonElement(it)) } }
    putJsonArray("gaps") { gaps.forEach { add(it) } }
}.toString()

/**
 * Chrome's trace event format, for trace viewers: each process is a track with instant events, and
 * each work item is a span from its acceptance to its end.
 */
internal fun MergedTimeline.toChromeTrace(): String {
    val hosts = events.map { it.host }.distinct()
    return buildJsonObject {
        putJsonArray("traceEvents") {
            hosts.forEachIndexed { index, host -> addProcessName(index, host) }
            events.forEach { addInstant(it, hosts.indexOf(it.host)) }
            events.forEach { addSpanEdge(it, hosts.indexOf(it.host)) }
        }
        putJsonObject("otherData") { put("gaps", gaps.joinToString("; ")) }
    }.toString()
}

private fun JsonArrayBuilder.addProcessName(index: Int, host: String) = addJsonObject {
    put("name", "process_name")
    put("ph", "M")
    put("pid", index)
    putJsonObject("args") { put("name", host) }
}

private fun JsonArrayBuilder.addInstant(event: TimelineEvent, process: Int) = addJsonObject {
    put("name", event.kind.name.lowercase())
    put("ph", "i")
    put("s", "p")
    put("ts", event.timestampUs)
    put("pid", process)
    put("tid", 0)
    putJsonObject("args") {
        put("subjects", event.subjects.joinToString(" "))
        put("details", event.details)
    }
}

private fun JsonArrayBuilder.addSpanEdge(event: TimelineEvent, process: Int) {
    val phase = when (event.kind) {
        EventKind.WORK_ACCEPTED -> "b"
        EventKind.WORK_ENDED -> "e"
        else -> return
    }
    val subject = event.subjects.firstOrNull() ?: return
    addJsonObject {
        put("name", subject)
        put("cat", "work")
        put("ph", phase)
        put("id", subject)
        put("ts", event.timestampUs)
        put("pid", process)
        put("tid", 0)
    }
}

// Trace viewers have microsecond resolution, so the counter orders events of a millisecond.
private val TimelineEvent.timestampUs: Long
    get() = time.wallMs * US_PER_MS + time.counter.coerceAtMost(US_PER_MS - 1)

private const val US_PER_MS = 1_000L
