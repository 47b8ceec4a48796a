package dev.jackdawdale.raft

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/**
 * Identifies one data folder. A replica that lost its disk gets a new ID, so it never votes under
 * an ID whose earlier votes it does not know.
 */
@Serializable
@JvmInline
internal value class ReplicaId(val value: String) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A member of the replicated log; a learner (not [voter]) receives entries and does not vote. */
@Serializable
internal data class Member(val replicaId: ReplicaId, val hostId: HostId, val voter: Boolean)

/** All members of the replicated log. */
@Serializable
internal data class Membership(val members: List<Member> = emptyList()) {
    override fun toString(): String = members.joinToString {
        "${it.hostId} (${it.replicaId}${if (it.voter) "" else ", learner"})"
    }
}

internal val Membership.voters: List<Member> get() = members.filter { it.voter }

internal val Membership.quorum: Int get() = voters.size / 2 + 1

internal fun Membership.member(id: ReplicaId): Member? = members.find { it.replicaId == id }

internal fun Membership.isVoter(id: ReplicaId): Boolean = member(id)?.voter == true

internal fun Membership.encode(): ByteArray = cellCbor.encodeToByteArray(this)

internal fun decodeMembership(bytes: ByteArray): Membership = cellCbor.decodeFromByteArray(bytes)

/** A change of one member; at most one is uncommitted at any time. */
internal sealed interface MemberChange {
    data class AddLearner(val replicaId: ReplicaId, val hostId: HostId) : MemberChange

    data class Promote(val replicaId: ReplicaId) : MemberChange

    data class Remove(val replicaId: ReplicaId) : MemberChange
}

/** The membership after [change], or null when the change does not fit the membership. */
internal fun Membership.after(change: MemberChange): Membership? = when (change) {
    is MemberChange.AddLearner ->
        if (members.any { it.replicaId == change.replicaId || it.hostId == change.hostId }) {
            null
        } else {
            Membership(members + Member(change.replicaId, change.hostId, voter = false))
        }

    is MemberChange.Promote ->
        if (member(change.replicaId)?.voter != false) {
            null
        } else {
            Membership(
                members.map { if (it.replicaId == change.replicaId) it.copy(voter = true) else it }
            )
        }

    is MemberChange.Remove -> {
        val remaining = Membership(members.filter { it.replicaId != change.replicaId })
        val unchanged = remaining.members.size == members.size
        if (unchanged || remaining.voters.isEmpty()) null else remaining
    }
}
