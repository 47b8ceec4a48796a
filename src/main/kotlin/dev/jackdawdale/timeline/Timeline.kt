package dev.jackdawdale.timeline

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/**
 * The events that one process still has.
 *
 * @property dropped number of older events that the ring buffer has overwritten
 */
@Serializable
internal data class HostTimeline(
    val host: String,
    val dropped: Long,
    val events: List<TimelineEvent>
)

internal val timelineJson = Json {
    namingStrategy = JsonNamingStrategy.SnakeCase
    ignoreUnknownKeys = true
}

/**
 * The latest events of this process, with hybrid logical timestamps. Thread-safe.
 *
 * Example: `timeline("kochi-1").record(EventKind.WORK_ACCEPTED, "c/1")`.
 */
internal class Timeline(
    private val host: String,
    private val capacity: Int,
    private val nowMs: () -> Long
) {
    private val ring = arrayOfNulls<TimelineEvent>(capacity)
    private var recorded = 0L
    private var clock = HybridTime(0)

    /** Records an event about [subjects]. */
    @Synchronized
    fun record(kind: EventKind, vararg subjects: String, details: String = "") {
        clock = tick(clock, nowMs())
        val slot = (recorded % capacity).toInt()
        ring[slot] = TimelineEvent(clock, host, kind, subjects.toList(), details)
        recorded++
    }

    /** The timestamp to send with a message, so that events after its receipt are later. */
    @Synchronized
    fun stamp(): HybridTime {
        clock = tick(clock, nowMs())
        return clock
    }

    /** Advances the clock past the timestamp of a received message. */
    @Synchronized
    fun observe(remote: HybridTime) {
        clock = merge(clock, remote, nowMs())
    }

    /** The events in the buffer, oldest first; if [subject] is given, only those about it. */
    @Synchronized
    fun events(subject: String? = null): HostTimeline {
        val first = maxOf(0L, recorded - capacity)
        val held = (first until recorded).mapNotNull { ring[(it % capacity).toInt()] }
        val found = if (subject == null) held else held.filter { it.isAbout(subject) }
        return HostTimeline(host, first, found)
    }

    /** The answer to `GET /v1/timeline?subject=`. */
    fun json(subject: String? = null): String = timelineJson.encodeToString(events(subject))
}

/** Creates the timeline of the process on [host]; it keeps the latest [capacity] events. */
internal fun timeline(
    host: String,
    capacity: Int = DEFAULT_CAPACITY,
    nowMs: () -> Long = System::currentTimeMillis
): Timeline = Timeline(host, capacity, nowMs)

// At about 300 bytes per event this takes 2.4 MiB of a 256 MiB process.
private const val DEFAULT_CAPACITY = 8_192
