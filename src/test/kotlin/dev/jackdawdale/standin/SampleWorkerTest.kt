package dev.jackdawdale.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.encodeToString

private fun start(taskId: String, token: Long, payload: String) =
    TaskOrder("start", taskId, token, 100, 10, 0, 60_000, payload)

class SampleWorkerTest :
    FunSpec({
        test("a task runs once although its start order is repeated, also after a failover") {
            val journal = Files.createTempFile("worker", ".jsonl")
            val orders = WorkerOrders(10_000, emptyList(), listOf(start("c/j#0", 3, "run_ms=30")))
            val reply = FakeAnswer(200, snakeJson.encodeToString(orders))
            FakeEntryHost { FakeAnswer(503) }.use { down ->
                FakeEntryHost { reply }.use { entry ->
                    val urls = listOf(down.url, entry.url)
                    SampleWorker(WorkerOptions("w1", urls, journal = journal)).use { worker ->
                        worker.start()
                        eventually(10.seconds) {
                            readJournal(journal).map { it.event } shouldBe
                                listOf(JournalEvent.UP, JournalEvent.START, JournalEvent.END)
                        }
                    }
                }
            }
        }

        test("orders left in a batch do not start after the lease expires during a pause") {
            val journal = Files.createTempFile("worker", ".jsonl")
            val batch = List(3) { start("c/j#$it", it + 1L, "run_ms=60000") }
            val reply =
                FakeAnswer(200, snakeJson.encodeToString(WorkerOrders(5_000, emptyList(), batch)))
            fun pauseMs() =
                if (readJournal(journal).any { it.event == JournalEvent.START }) 20_000L else 0L
            val clock = WorkerClock(
                nowMs = { System.currentTimeMillis() + pauseMs() },
                nanos = { System.nanoTime() + pauseMs() * 1_000_000 }
            )
            FakeEntryHost { reply }.use { entry ->
                val options = WorkerOptions("w1", listOf(entry.url), journal = journal)
                SampleWorker(options, clock).use { worker ->
                    worker.start()
                    eventually(10.seconds) {
                        readJournal(journal).last().result shouldBe "lease ended"
                    }
                }
            }
            readJournal(journal).count { it.event == JournalEvent.START } shouldBe 1
        }

        test("tasks stop when the lease expires while no entry host answers") {
            val journal = Files.createTempFile("worker", ".jsonl")
            val answered = AtomicBoolean()
            val orders = WorkerOrders(300, emptyList(), listOf(start("c/j#0", 3, "run_ms=60000")))
            FakeEntryHost {
                if (answered.getAndSet(true)) {
                    FakeAnswer(503)
                } else {
                    FakeAnswer(200, snakeJson.encodeToString(orders))
                }
            }.use { entry ->
                val options = WorkerOptions("w1", listOf(entry.url), journal = journal)
                SampleWorker(options).use { worker ->
                    worker.start()
                    eventually(10.seconds) {
                        readJournal(journal).last().result shouldBe "lease ended"
                    }
                }
            }
        }
    })
