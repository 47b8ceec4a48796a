package dev.jackdawdale.replica

import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.answeringVoters
import dev.jackdawdale.raft.membership
import dev.jackdawdale.raft.quorum
import dev.jackdawdale.raft.toleratedLosses
import dev.jackdawdale.raft.voters
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.replica")

/**
 * Reports how many more voters the cell can lose, as long as this replica leads. Membership and
 * silent voters both change it, so neither alone tells operators whether a host may be stopped.
 *
 * @param onChange called with the new number, or with null when this replica no longer leads
 */
internal class LossMarginWatch(private val onChange: (Int?) -> Unit) {
    private var lastMargin: Int? = null

    fun tick(state: RaftState, nowMs: Long) {
        val margin = if (state.ready) state.toleratedLosses(nowMs) else null
        if (margin == lastMargin) return
        lastMargin = margin
        onChange(margin)
        if (margin == null) return
        log.info(
            "the cell can lose {} more voters: {} of {} answer, {} are needed",
            margin,
            state.answeringVoters(nowMs),
            state.membership.voters.size,
            state.membership.quorum
        )
    }
}
