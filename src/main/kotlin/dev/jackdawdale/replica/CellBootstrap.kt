package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.HelloReply
import dev.jackdawdale.raft.Member
import dev.jackdawdale.raft.Membership
import dev.jackdawdale.raft.ReplicaId

private const val REPLY_VALID_MS = 2_000L

/**
 * Decides whether this replica may start the first log of the cell.
 *
 * Only the first configured host that may form the cell does so, and only while every other
 * configured host replies that its folder is blank. This keeps a host that lost its disk from
 * starting a second log: at least one other host holds a log or does not reply.
 */
internal class CellBootstrap(private val hostId: HostId, private val hosts: List<HostId>) {
    private class ReceivedReply(
        val replicaId: ReplicaId,
        val blank: Boolean,
        val mayForm: Boolean,
        val atMs: Long
    )

    private val replies = mutableMapOf<HostId, ReceivedReply>()

    /** The leader need not be one of the configured hosts. */
    private var leader: HostId? = null

    /** Hosts to which this replica sends its requests to join. */
    val hostsToAsk: Set<HostId> get() = (hosts + listOfNotNull(leader)).toSet() - hostId

    fun onReply(reply: HelloReply, nowMs: Long) {
        reply.leader?.let { leader = it }
        replies[reply.hostId] = ReceivedReply(reply.from, reply.blank, reply.mayForm, nowMs)
    }

    /** The first membership, or null while this replica must not form it. */
    fun firstMembership(self: ReplicaId, nowMs: Long): Membership? {
        val formingHost = hosts.filter { it == hostId || replies[it]?.mayForm ?: true }
            .minByOrNull { it.value }
        if (hostId != formingHost) return null
        val members = hosts.map { host ->
            if (host == hostId) return@map Member(self, hostId, voter = true)
            val reply = replies[host] ?: return null
            if (!reply.blank || nowMs - reply.atMs > REPLY_VALID_MS) return null
            Member(reply.replicaId, host, voter = true)
        }
        return Membership(members)
    }
}
