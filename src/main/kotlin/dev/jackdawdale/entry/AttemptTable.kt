package dev.jackdawdale.entry

import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.wire.EntryMessage

/**
 * The attempts of this host that are in flight, and finished ones whose result the leader has not
 * acknowledged.
 */
internal class AttemptTable(private val recentTokens: Int) {
    private class Entry(val workId: WorkId, val startedNanos: Long) {
        var finished: EntryMessage.AttemptFinished? = null
    }

    private val held = LinkedHashMap<FencingToken, Entry>()
    private val recent = object : LinkedHashMap<FencingToken, Unit>() {
        override fun removeEldestEntry(eldest: Map.Entry<FencingToken, Unit>): Boolean =
            size > recentTokens
    }

    /** Adds the attempt; false when it is in the table or was acknowledged recently. */
    @Synchronized
    fun begin(workId: WorkId, token: FencingToken, nowNanos: Long): Boolean {
        if (token in held || token in recent) return false
        held[token] = Entry(workId, nowNanos)
        return true
    }

    /** Records the result and returns the message for the leader; null when already finished. */
    @Synchronized
    fun finish(
        token: FencingToken,
        result: AttemptResult,
        nowNanos: Long
    ): EntryMessage.AttemptFinished? {
        val entry = held[token] ?: return null
        if (entry.finished != null) return null
        val runTimeMs = (nowNanos - entry.startedNanos) / 1_000_000
        val message = EntryMessage.AttemptFinished(entry.workId, token, result, runTimeMs)
        entry.finished = message
        return message
    }

    /** Removes a finished attempt. An attempt in flight stays: its result is not known yet. */
    @Synchronized
    fun acknowledge(token: FencingToken) {
        if (held[token]?.finished == null) return
        held.remove(token)
        recent[token] = Unit
    }

    @Synchronized
    fun held(): List<HeldAttempt> = held.map { (token, entry) -> HeldAttempt(entry.workId, token) }

    @Synchronized
    fun unacknowledged(): List<EntryMessage.AttemptFinished> = held.values.mapNotNull {
        it.finished
    }

    val inFlight: Int
        @Synchronized get() = held.values.count { it.finished == null }

    val isEmpty: Boolean
        @Synchronized get() = held.isEmpty()
}
