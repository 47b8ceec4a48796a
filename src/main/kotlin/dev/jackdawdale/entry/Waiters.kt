package dev.jackdawdale.entry

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlMessage
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred

/** How a request ended, for its callers. */
internal class Ended(val outcome: Outcome, val answer: Answer?, val attempts: Int?)

/** One caller that waits for the end of a request. */
internal class Waiter(val command: Command.SubmitRequest) {
    val ended = CompletableDeferred<Ended>()

    /** True once the leader said that the request is accepted. */
    @Volatile
    var accepted = false
}

/** The callers on this host, by the request that they wait for. */
internal class Waiters(private val maxBytes: Long) {
    private val byWork = ConcurrentHashMap<WorkId, List<Waiter>>()
    private val bytes = AtomicLong()

    val count: Int get() = byWork.values.sumOf { it.size }

    /** Adds a caller, or returns null when the bodies held for callers exceed the bound. */
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
        val ended = Ended(message.outcome, message.answer, message.attempts)
        byWork[message.workId]?.forEach { it.ended.complete(ended) }
    }

    fun contains(waiter: Waiter): Boolean = byWork[waiter.command.workId]?.contains(waiter) ?: false

    /** The accepted waiters; a new session must hear of them, or it would not tell their end. */
    fun accepted(): List<Waiter> = byWork.values.flatten().filter { it.accepted }
}
