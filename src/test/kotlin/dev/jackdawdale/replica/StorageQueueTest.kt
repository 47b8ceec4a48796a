package dev.jackdawdale.replica

import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageWrite
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private class Queue {
    val storage = MemoryStorage(ReplicaId("r"))
    val disk = ArrayDeque<Runnable>()
    val done = mutableListOf<Int>()
    val errors = mutableListOf<StorageError>()
    val queue = StorageQueue(storage, { it.run() }, { disk += it }, { errors += it })

    fun submit(number: Int) {
        val write = StorageWrite.Vote(number.toLong(), null)
        queue.submit(StorageBatch(listOf(write)) { done += number })
    }

    fun runDisk() = disk.removeFirst().run()
}

class StorageQueueTest :
    FunSpec({
        test("batches that wait for a write share the next one") {
            val queue = Queue()
            (1..5).forEach(queue::submit)
            queue.runDisk()
            queue.done shouldBe listOf(1)
            queue.runDisk()
            queue.done shouldBe listOf(1, 2, 3, 4, 5)
            queue.disk.size shouldBe 0
        }

        test("after a failed write nothing later counts as durable") {
            val queue = Queue()
            queue.storage.failing = true
            queue.submit(1)
            queue.submit(2)
            queue.runDisk()
            queue.storage.failing = false
            queue.submit(3)
            queue.disk.size shouldBe 0
            queue.done shouldBe emptyList()
            queue.errors.size shouldBe 1
        }

        test("a closed queue writes nothing more, as the folder may be closed already") {
            val queue = Queue()
            queue.submit(1)
            queue.submit(2)
            queue.queue.close()
            queue.storage.failing = true
            queue.runDisk()
            queue.submit(3)
            queue.disk.size shouldBe 0
            queue.errors shouldBe emptyList()
        }
    })
