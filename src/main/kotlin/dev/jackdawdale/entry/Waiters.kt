package dev.jackdawdale.entry

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred

/** The outcome of a request, for its callers. */
internal class EndedRequest(val outcome: Outcome, val answer: Answer?, val attempts: Int?)

/** One caller that waits for the outcome of a request. */
internal class Waiter(val command: Command.SubmitRequest) {
    val ended = CompletableDeferred<EndedRequest>()

    /** Whether the leader has accepted the request. */
    @Volatile
    var accepted = false
}

/** The waiting callers on this host, by work id. */
internal class Waiters(private val maxBytes: Long) {
    private val byWork = ConcurrentHashMap<WorkId, List<Waiter>>()
    private val bytes = AtomicLong()

    val count: Int get() = byWork.values.sumOf { it.size }

    /** Adds a caller, or returns null when the waiting request bodies would exceed the limit. */
    fun add(command: Command.SubmitRequest): Waiter? {
        val size = command.body.sizeBytes.toLong()
        if (bytes.addAndGet(size) > maxBytes) {
            bytes.addAndGet(-size)
            return null
        }
        val waiter = Waiter(command)
        byWork.merge(command.workId, listOf(waiter)) { present, added -> present + added }
        return waiter
    }

    fun remove(waiter: Waiter) {
        byWork.computeIfPresent(waiter.command.workId) { _, present ->
            (present - waiter).ifEmpty { null }
        }
        bytes.addAndGet(-waiter.command.body.sizeBytes.toLong())
    }

    fun end(message: ControlMessage.RequestEnded) {
        val ended = EndedRequest(message.outcome, message.answer, message.attempts)
        byWork[message.workId]?.forEach { it.ended.complete(ended) }
    }

    fun contains(waiter: Waiter): Boolean = byWork[waiter.command.workId]?.contains(waiter) ?: false

    /** The accepted waiters; a new leader reports their outcomes only if they are resubmitted. */
    fun accepted(): List<Waiter> = byWork.values.flatten().filter { it.accepted }
}
