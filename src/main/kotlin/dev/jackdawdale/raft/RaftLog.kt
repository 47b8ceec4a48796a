package dev.jackdawdale.raft

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The part of the log after a snapshot, in memory.
 *
 * @property snapshot the last snapshot; a folder without one has index 0 and no members
 * @property baseIndex index before the first entry held; at most the snapshot's index
 */
internal data class RaftLog(
    val snapshot: SnapshotMeta = SnapshotMeta(0, 0, Membership()),
    val baseIndex: Long = snapshot.index,
    val baseTerm: Long = snapshot.term,
    val entries: PersistentList<Entry> = persistentListOf(),
    val memberships: PersistentList<MembershipAt> = persistentListOf()
)

/** A membership that is in force from the entry at [index] on. */
internal data class MembershipAt(val index: Long, val membership: Membership)

internal fun raftLog(snapshot: SnapshotMeta, entries: List<Entry>): RaftLog =
    RaftLog(snapshot).append(entries)

internal val RaftLog.lastIndex: Long get() = baseIndex + entries.size

internal val RaftLog.lastTerm: Long get() = if (entries.isEmpty()) baseTerm else entries.last().term

/** The latest membership; it is in force from when it is appended, before it is committed. */
internal val RaftLog.membership: Membership
    get() = memberships.lastOrNull()?.membership ?: snapshot.membership

internal val RaftLog.membershipIndex: Long
    get() = memberships.lastOrNull()?.index ?: snapshot.index

/** The membership in force at [index], which is at least the snapshot's index. */
internal fun RaftLog.membershipAt(index: Long): Membership =
    memberships.lastOrNull { it.index <= index }?.membership ?: snapshot.membership

/** The term at [index], or null when the entry is not held. */
internal fun RaftLog.termAt(index: Long): Long? = when {
    index == baseIndex -> baseTerm
    index < baseIndex || index > lastIndex -> null
    else -> entry(index).term
}

internal fun RaftLog.entry(index: Long): Entry = entries[(index - baseIndex - 1).toInt()]

internal fun RaftLog.append(added: List<Entry>): RaftLog {
    if (added.isEmpty()) return this
    require(added.first().index == lastIndex + 1) {
        "entry ${added.first().index} does not follow $lastIndex"
    }
    val changes = added.filter { it.kind == EntryKind.MEMBERS }
        .map { MembershipAt(it.index, decodeMembership(it.payload.bytes)) }
    return copy(
        entries = entries.addAll(added),
        memberships = memberships.addAll(changes)
    )
}

/** Drops [index] and everything after it. */
internal fun RaftLog.truncateFrom(index: Long): RaftLog {
    val kept = entries.subList(0, (index - baseIndex - 1).toInt()).toPersistentList()
    return copy(
        entries = kept,
        memberships = memberships.filter { it.index < index }.toPersistentList()
    )
}

/** Records that a snapshot up to [newSnapshot] is durable and drops entries up to [dropThrough]. */
internal fun RaftLog.compact(newSnapshot: SnapshotMeta, dropThrough: Long): RaftLog {
    val base = minOf(dropThrough, newSnapshot.index)
    val dropped = (base - baseIndex).toInt()
    val compacted = if (dropped <= 0) {
        this
    } else {
        copy(
            baseIndex = base,
            baseTerm = checkNotNull(termAt(base)),
            entries = entries.subList(dropped, entries.size).toPersistentList()
        )
    }
    return compacted.copy(
        snapshot = newSnapshot,
        memberships = memberships.filter { it.index > newSnapshot.index }.toPersistentList()
    )
}

/** Entries from [from] on, at most [maxBytes] in total but at least one if there is any. */
internal fun RaftLog.slice(from: Long, maxBytes: Int): List<Entry> {
    val result = mutableListOf<Entry>()
    var bytes = 0
    for (index in from..lastIndex) {
        val entry = entry(index)
        bytes += entry.sizeBytes
        if (result.isNotEmpty() && bytes > maxBytes) break
        result += entry
    }
    return result
}
