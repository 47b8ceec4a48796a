package dev.jackdawdale.replica

import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.lastIndex
import dev.jackdawdale.raft.member
import dev.jackdawdale.raft.membership
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.replica")
private const val LOG_EVERY_MS = 1_000L

/** Logs members that lag behind: one that never catches up is no better than a lost one. */
internal class LaggingMemberLog {
    private var dueMs = 0L

    /** Logs each lagging member while this replica leads, at most once a second. */
    fun tick(state: RaftState, nowMs: Long) {
        if (!state.ready || nowMs < dueMs) return
        dueMs = nowMs + LOG_EVERY_MS
        for ((id, peer) in state.peers) {
            val missing = state.lastIndex - peer.matchIndex
            if (missing <= state.settings.promoteWithinEntries) continue
            log.info(
                "member {} lacks {} of {} entries: {}, {} bytes in flight",
                state.membership.member(id)?.hostId,
                missing,
                state.lastIndex,
                peer.mode,
                peer.inFlight.sumOf { it.bytes }
            )
        }
    }
}
