package dev.jackdawdale.wire

import dev.jackdawdale.model.HostId
import java.util.concurrent.ConcurrentHashMap

/** How a session ended. */
internal sealed interface SessionEnd {
    data class Redirected(val leader: HostId?) : SessionEnd

    /** @property silent nothing came any more, so the host may still not answer */
    data class Lost(val wasOpen: Boolean, val silent: Boolean = false) : SessionEnd
}

/** One connection of an entry host with a control host. */
internal class EntrySession(val link: FrameLink<ControlMessage, EntryMessage>) {
    private val sentCalls = ConcurrentHashMap.newKeySet<Long>()

    @Volatile
    private var lastHeardNanos = System.nanoTime()

    @Volatile
    var accepted = false

    /** Set when the control host said that it does not lead. */
    @Volatile
    var redirect: SessionEnd.Redirected? = null

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

/** Chooses which control host to try: the hinted one first, then each in turn. */
internal class LeaderSearch(
    configured: List<HostId>,
    private val isReachable: (HostId) -> Boolean = { false }
) {
    @Volatile
    private var hosts = configured
    private var turn = 0
    private var hint: HostId? = null
    private var triedSincePause = 0

    fun next(): HostId {
        val hinted = hint
        hint = null
        triedSincePause++
        if (hinted != null) return hinted
        return hosts[turn++ % hosts.size]
    }

    fun follow(leader: HostId?) {
        if (leader != null && (leader in hosts || isReachable(leader))) hint = leader
    }

    /** Adds the control hosts that a leader named; the configured ones stay. */
    fun learn(members: List<HostId>) {
        hosts = (hosts + members.filter(isReachable)).distinct()
    }

    /** True after each round of attempts, so that a search without a leader does not spin. */
    fun shouldPause(): Boolean {
        if (triedSincePause < hosts.size) return false
        triedSincePause = 0
        return true
    }
}
