package dev.jackdawdale.records

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.Asked
import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.sampleRequest
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.StorageException
import dev.jackdawdale.storage.filesIn
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executor

private val customers = listOf("acme", "bolt", "core")
private val outcomes = listOf(Outcome.Succeeded, Outcome.Failed("no"), Outcome.NotRun("full"))
private val direct = Executor { it.run() }
private val smallSegments = RecordSettings(maxSegmentBytes = 2_000)

internal fun record(number: Long, answerBytes: Int = 10): WorkRecord {
    val customer = customers[(number % 3).toInt()]
    val spec = sampleRequest(customer, "r$number")
    return WorkRecord(
        number = number,
        workId = spec.workId,
        customerId = CustomerId(customer),
        asked = Asked.Request(spec),
        contractVersion = 1,
        acceptedAtMs = number * 100,
        endedAtMs = number * 100 + 50,
        outcome = outcomes[(number % 2).toInt()],
        attempts = 1,
        answer = Answer(200, "text/plain", Blob(ByteArray(answerBytes)))
    )
}

private fun records(range: LongRange) = range.map { record(it) }

private fun open(path: Path, executor: Executor = direct) =
    recordStore(path, executor, smallSegments)

private class Search(val name: String, val query: RecordQuery, val matches: (WorkRecord) -> Boolean)

class RecordStoreTest :
    FunSpec({
        test("records, chain hashes and searches are the same after a restart") {
            val path = tempdir().toPath()
            val hashes = open(path).use { store ->
                records(0L..99).chunked(7).forEach { store.append(it, it.last().number) }
                (0L..99).map { store.chainHash(it) }
            }
            open(path).use { store ->
                store.syncedThrough() shouldBe 99
                (0L..99).map { store.read(it) } shouldBe records(0L..99)
                (0L..99).map { store.chainHash(it) } shouldBe hashes
                store.verify() shouldBe VerifyResult.Intact(100, hashes.last()!!)
                store.append(records(90L..110), 111)
                store.syncedThrough() shouldBe 110
            }
            (filesIn(path, SEGMENT_SUFFIX).size > 5) shouldBe true
        }

        test("the chain hash does not depend on how records are grouped into writes") {
            val hashes = listOf(1, 10, 100).map { group ->
                open(tempdir().toPath()).use { store ->
                    records(0L..99).chunked(group).forEach { store.append(it, 1) }
                    store.chainHash(99)
                }
            }
            hashes.distinct().size shouldBe 1
        }

        context("search") {
            withData(
                nameFn = Search::name,
                Search("all", RecordQuery()) { true },
                Search("by customer", RecordQuery(CustomerId("bolt"))) {
                    it.customerId.value == "bolt"
                },
                Search("by time", RecordQuery(endedFromMs = 1_050, endedToMs = 2_050)) {
                    it.endedAtMs in 1_050..2_050
                },
                Search("by outcome", RecordQuery(outcome = "failed")) {
                    it.outcome is Outcome.Failed
                },
                Search("by number", RecordQuery(fromNumber = 42)) { it.number >= 42 },
                Search("nothing matches", RecordQuery(CustomerId("none"))) { false }
            ) { search ->
                val path = tempdir().toPath()
                open(path).use { it.append(records(0L..99), 1) }
                open(path).use { store ->
                    val found = mutableListOf<WorkRecord>()
                    var next: Long? = search.query.fromNumber
                    while (next != null) {
                        val page = store.search(search.query.copy(fromNumber = next, limit = 7))
                        found += page.records.map { it.record }
                        next = page.nextNumber
                    }
                    found shouldBe records(0L..99).filter(search.matches)
                }
            }
        }

        test("a search finds a record whose write has not run yet") {
            open(tempdir().toPath()) { }.use { store ->
                store.append(records(0L..4), 1)
                store.isSynced(1) shouldBe false
                store.search(RecordQuery()).records.size shouldBe 5
                store.isSynced(1) shouldBe true
            }
        }

        test("records after a gap do not count as synced before the missing ones are fetched") {
            val full = open(tempdir().toPath())
            full.append(records(0L..49), 1)
            full.append(listOf(record(50, answerBytes = 5_000)), 2)
            open(tempdir().toPath()).use { store ->
                store.append(records(0L..9), 1)
                store.expectCount(51)
                store.isSynced(1) shouldBe false
                store.append(records(51L..60), 3)
                var fetches = 0
                var position = store.nextFetch()
                while (position != null) {
                    fetches++
                    position = store.receive(full.parts(position, 1_000))
                }
                (fetches > 5) shouldBe true
                store.syncedThrough() shouldBe 60
                store.isSynced(3) shouldBe true
                store.chainHash(50) shouldBe full.chainHash(50)
                store.verify().shouldBeInstanceOf<VerifyResult.Intact>()
            }
        }

        context("verify finds") {
            withData(
                nameFn = { it.first },
                "a changed byte of a sealed segment" to { path: Path ->
                    val file = filesIn(path, SEGMENT_SUFFIX)[1]
                    Files.write(file, Files.readAllBytes(file).apply { this[700] = 1 })
                },
                "a segment replaced by one of another chain" to { path: Path ->
                    val other = tempdir().toPath()
                    open(other).use { store ->
                        store.append(records(0L..99).map { it.copy(attempts = 2) }, 1)
                    }
                    val file = filesIn(path, SEGMENT_SUFFIX)[1]
                    Files.copy(
                        other.resolve(file.fileName),
                        file,
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING
                    )
                }
            ) { (_, change) ->
                val path = tempdir().toPath()
                open(path).use { store ->
                    store.append(records(0L..99), 1)
                    change(path)
                    store.verify().shouldBeInstanceOf<VerifyResult.Broken>()
                }
            }
        }

        test("records lost with a torn tail are appended again when the log is replayed") {
            val path = tempdir().toPath()
            val hash = open(path).use { store ->
                store.append(records(0L..19), 1)
                store.chainHash(19)
            }
            val file = filesIn(path, SEGMENT_SUFFIX).last()
            Files.write(file, Files.readAllBytes(file).let { it.copyOf(it.size - 5) })
            open(path).use { store ->
                store.syncedThrough() shouldBe 18
                store.append(records(0L..19), 1)
                store.chainHash(19) shouldBe hash
            }
        }

        test("damage before the tail of the last segment is refused with file and offset") {
            val path = tempdir().toPath()
            recordStore(path, direct).use { store ->
                records(0L..19).forEach { store.append(listOf(it), 1) }
            }
            val file = filesIn(path, SEGMENT_SUFFIX).single()
            Files.write(file, Files.readAllBytes(file).apply { this[600] = 1 })
            val error = shouldThrow<StorageException> { open(path) }.error
            error.shouldBeInstanceOf<StorageError.Damaged>().file shouldBe file
        }

        test("a lost index is rebuilt from the segment") {
            val path = tempdir().toPath()
            open(path).use { it.append(records(0L..99), 1) }
            filesIn(path, ".index").forEach { Files.delete(it) }
            open(path).use { store ->
                store.read(5) shouldBe record(5)
                store.verify().shouldBeInstanceOf<VerifyResult.Intact>()
            }
        }

        test("a failed write is reported and its records do not count as synced") {
            var failing = false
            var reported: StorageError? = null
            val store = recordStore(
                tempdir().toPath(),
                direct,
                check = { if (failing) throw IOException("No space left on device") },
                onFailed = { reported = it }
            )
            store.append(records(0L..4), 1)
            failing = true
            store.append(records(5L..9), 2)
            reported.shouldBeInstanceOf<StorageError.Failed>()
            store.syncedThrough() shouldBe 4
            store.isSynced(2) shouldBe false
        }
    })
