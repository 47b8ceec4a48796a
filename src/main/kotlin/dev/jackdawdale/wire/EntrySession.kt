package dev.jackdawdale.wire

import java.util.concurrent.ConcurrentHashMap

/** One connection from an entry host to a control host, and the session on it if [opened]. */
internal class EntrySession(val link: FrameLink<ControlMessage, EntryMessage>) {
    private val sentCalls = ConcurrentHashMap.newKeySet<Long>()

    @Volatile
    private var lastHeardNanos = System.nanoTime()

    /** Whether the control host claimed to lead and the session was requested. */
    @Volatile
    var opened = false

    /** Returns true if [callId] was not sent on this session before. */
    fun markSent(callId: Long): Boolean = sentCalls.add(callId)

    fun forget(callId: Long) {
        sentCalls.remove(callId)
    }

    fun recordActivity() {
        lastHeardNanos = System.nanoTime()
    }

    fun silentMs(): Long = (System.nanoTime() - lastHeardNanos) / 1_000_000
}
