package dev.jackdawdale.wire

import dev.jackdawdale.model.Refusal
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred

private const val NO_LEADER_RETRY_AFTER_MS = 1_000L

/** A command or query that waits for its reply. */
internal class PendingCall(
    val callId: Long,
    private val command: Command?,
    private val query: Query?,
    val resend: Boolean
) {
    private val createdNanos = System.nanoTime()
    private val completion = CompletableDeferred<Reply>()
    val reply: Deferred<Reply> get() = completion

    /** True once the call was sent: from then on it may have had an effect. */
    @Volatile
    var sent = false
        private set

    fun complete(reply: Reply) {
        completion.complete(reply)
    }

    /** Marks the call as sent; false if it is complete or must not be resent. */
    @Synchronized
    fun beginSend(): Boolean {
        if (completion.isCompleted || (sent && !resend)) return false
        sent = true
        return true
    }

    /**
     * Ends the call without a reply. Uses the lock of [beginSend], because a call that was reported
     * as never sent must not be sent afterwards.
     */
    @Synchronized
    fun endUnanswered() {
        val unsent = Refusal.Unavailable("no control leader", NO_LEADER_RETRY_AFTER_MS)
        completion.complete(if (sent) Reply.LeadershipLost else Reply.Refused(unsent))
    }

    /** The message to send; its relative deadline is reduced by the time spent so far. */
    fun message(): EntryMessage {
        if (query != null) return EntryMessage.QueryCall(callId, query)
        return EntryMessage.CommandCall(callId, checkNotNull(command).withRemainingDeadline())
    }

    private fun Command.withRemainingDeadline(): Command {
        if (this !is Command.SubmitRequest) return this
        val spentMs = (System.nanoTime() - createdNanos) / 1_000_000
        return copy(deadlineInMs = (deadlineInMs - spentMs).coerceAtLeast(1))
    }
}

/** The calls that wait for a reply, by call id. */
internal class PendingCalls {
    private val nextId = AtomicLong(1)
    private val byId = ConcurrentHashMap<Long, PendingCall>()

    val size: Int get() = byId.size

    fun add(command: Command?, query: Query?, resend: Boolean): PendingCall {
        val call = PendingCall(nextId.getAndIncrement(), command, query, resend)
        byId[call.callId] = call
        return call
    }

    operator fun get(callId: Long): PendingCall? = byId[callId]

    fun remove(call: PendingCall) {
        byId.remove(call.callId)
    }

    /** All pending calls, oldest first. */
    fun inOrder(): List<PendingCall> = byId.values.sortedBy { it.callId }
}
