package dev.jackdawdale.replica

import dev.jackdawdale.storage.ReplicaStorage
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.StorageWrite
import java.util.concurrent.Executor

/** Writes that become durable together; [onDurable] runs on the control thread. */
internal class StorageBatch(val writes: List<StorageWrite>, val onDurable: () -> Unit)

/**
 * Group commit: while one write runs on the storage thread, further batches wait and then share
 * the next one. Batches become durable in the order of submission.
 */
internal class StorageQueue(
    private val storage: ReplicaStorage,
    private val control: Executor,
    private val storageThread: Executor,
    private val onFailed: (StorageError) -> Unit
) {
    private var waiting = mutableListOf<StorageBatch>()
    private var running = false
    private var closed = false

    /** True when everything submitted is durable. */
    val isIdle: Boolean get() = !running && waiting.isEmpty()

    fun submit(batch: StorageBatch) {
        if (closed) return
        waiting += batch
        if (!running) startNext()
    }

    /** Drops batches that have not reached the storage thread; none was reported as durable. */
    fun close() {
        closed = true
        waiting.clear()
    }

    private fun startNext() {
        val batches = waiting
        waiting = mutableListOf()
        running = true
        storageThread.execute {
            val error = writeAll(batches.flatMap { it.writes })
            control.execute { finished(batches, error) }
        }
    }

    private fun writeAll(writes: List<StorageWrite>): StorageError? = try {
        if (writes.isNotEmpty()) storage.write(writes)
        null
    } catch (e: StorageException) {
        e.error
    }

    /** After a failure the queue stays blocked, so that no later batch is reported as durable. */
    private fun finished(batches: List<StorageBatch>, error: StorageError?) {
        if (closed) return
        if (error != null) return onFailed(error)
        running = false
        batches.forEach { it.onDurable() }
        if (!running && waiting.isNotEmpty()) startNext()
    }
}
