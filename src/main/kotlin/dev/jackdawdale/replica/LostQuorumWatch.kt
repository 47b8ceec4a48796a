package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.RaftState
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.raft.Role
import dev.jackdawdale.raft.membership
import dev.jackdawdale.raft.quorum
import dev.jackdawdale.raft.voters
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.replica")
private const val LOG_EVERY_MS = 1_000L

/**
 * Finds out that no leader can be elected any more: so many voters lost their disks that the others
 * are no quorum. Waiting doesn't help then, unlike in an election, so operators have to know.
 *
 * A voter has lost its disk when another replica asks to join from its host.
 *
 * @param onChange called with true when the quorum is lost, and with false when it is not any more
 */
internal class LostQuorumWatch(private val onChange: (Boolean) -> Unit) {
    private val joining = HashMap<HostId, ReplicaId>()
    private var isLost = false
    private var logDueMs = 0L

    /** Records that the replica [id] asks to join from [hostId]. */
    fun asksToJoin(hostId: HostId, id: ReplicaId) {
        joining[hostId] = id
    }

    fun tick(state: RaftState, nowMs: Long) {
        val membership = state.membership
        val lost = membership.voters.filter { voter ->
            joining[voter.hostId].let { it != null && it != voter.replicaId }
        }
        val intact = membership.voters.size - lost.size
        val wasLost = isLost
        val hasLeader = state.role == Role.LEADER ||
            nowMs - state.leaderHeardMs < state.settings.electionTimeoutMs
        isLost = lost.isNotEmpty() && intact < membership.quorum && !hasLeader
        if (isLost != wasLost) onChange(isLost)
        if (!isLost || nowMs < logDueMs) return
        logDueMs = nowMs + LOG_EVERY_MS
        log.error(
            "the quorum is lost: {} of {} voters have their disks, {} are needed; lost on {}",
            intact,
            membership.voters.size,
            membership.quorum,
            lost.map { it.hostId }
        )
    }
}
