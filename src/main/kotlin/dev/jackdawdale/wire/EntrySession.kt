package dev.jackdawdale.wire

import java.util.concurrent.ConcurrentHashMap

/** One connection of an entry host with a control host. */
internal class EntrySession(val link: FrameLink<ControlMessage, EntryMessage>) {
    private val sentCalls = ConcurrentHashMap.newKeySet<Long>()

    @Volatile
    private var lastHeardNanos = System.nanoTime()

    /** Whether the control host said that it leads and was asked for the session. */
    @Volatile
    var opened = false

    /** True the first time that [callId] is sent on this session. */
    fun firstSend(callId: Long): Boolean = sentCalls.add(callId)

    fun forget(callId: Long) {
        sentCalls.remove(callId)
    }

    fun heard() {
        lastHeardNanos = System.nanoTime()
    }

    fun silentMs(): Long = (System.nanoTime() - lastHeardNanos) / 1_000_000
}
