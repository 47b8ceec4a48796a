package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.RaftEffect

/** Reads and membership changes that wait for their results. */
internal class PendingCalls {
    private class Change(val term: Long, val onResult: (ChangeResult) -> Unit)

    private val reads = mutableMapOf<Long, (ReadResult) -> Unit>()
    private val changes = mutableMapOf<Long, Change>()
    private var nextReadId = 0L

    fun addRead(onResult: (ReadResult) -> Unit): Long {
        val readId = nextReadId++
        reads[readId] = onResult
        return readId
    }

    fun readReady(effect: RaftEffect.ReadReady) {
        reads.remove(effect.readId)?.invoke(ReadResult.Ready(effect.index))
    }

    fun readFailed(readId: Long, leader: HostId?) {
        reads.remove(readId)?.invoke(ReadResult.NotLeader(leader))
    }

    /** Registers a change; its result is known once the entry of [appended] is committed. */
    fun addChange(appended: RaftEffect.Appended, onResult: (ChangeResult) -> Unit) {
        changes[appended.index] = Change(appended.term, onResult)
    }

    fun committed(entry: Entry) {
        val change = changes.remove(entry.index) ?: return
        val same = change.term == entry.term
        change.onResult(if (same) ChangeResult.Committed else ChangeResult.Unknown)
    }

    fun failChanges() {
        val failed = changes.values.toList()
        changes.clear()
        failed.forEach { it.onResult(ChangeResult.Unknown) }
    }

    fun failAll(leader: HostId?) {
        failChanges()
        val failed = reads.values.toList()
        reads.clear()
        failed.forEach { it(ReadResult.NotLeader(leader)) }
    }
}
