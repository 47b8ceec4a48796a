package dev.jackdawdale.storage

import dev.jackdawdale.model.Blob
import dev.jackdawdale.model.blob
import dev.jackdawdale.raft.Entry
import dev.jackdawdale.raft.EntryKind
import dev.jackdawdale.raft.Membership
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.raft.SnapshotMeta
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private fun entry(index: Long, term: Long = 1, size: Int = 20) =
    Entry(index, term, EntryKind.COMMAND, Blob(ByteArray(size) { index.toByte() }))

private fun entries(range: LongRange, term: Long = 1) =
    range.map { StorageWrite.Entries(listOf(entry(it, term))) }

private val smallSegments = FolderSettings(segmentBytes = 200, minFreeBytes = 0)

private fun <T> open(path: Path, check: WriteCheck = {}, use: (ReplicaStorage, StoredState) -> T) =
    replicaFolder(path, smallSegments, check).use { use(it, it.load()) }

private fun logFiles(path: Path) = filesIn(path.resolve("log"), ".log")

private class Damage(val name: String, val badOffset: Long?, val change: (ByteArray) -> ByteArray)

class ReplicaFolderTest :
    FunSpec({
        test("a reopened folder holds the identity, the vote and the entries") {
            val path = tempdir().toPath()
            val id = open(path) { folder, _ ->
                folder.write(entries(1L..30) + StorageWrite.Vote(3, ReplicaId("a")))
                folder.replicaId
            }
            open(path) { folder, state ->
                folder.replicaId shouldBe id
                state.term shouldBe 3
                state.votedFor shouldBe ReplicaId("a")
                state.entries shouldBe (1L..30).map { entry(it) }
            }
        }

        test("conflicting entries are replaced, also across segments") {
            val path = tempdir().toPath()
            for (from in listOf(30L, 17, 4, 1)) {
                open(path) { folder, _ ->
                    folder.write(entries(1L..30, term = 1))
                    folder.write(entries(from..from + 2, term = 2))
                }
                open(path) { folder, state ->
                    val kept = (1 until from).map { entry(it) }
                    state.entries shouldBe kept + (from..from + 2).map { entry(it, term = 2) }
                    folder.write(entries(1L..1))
                }
            }
        }

        test("entries before a snapshot are dropped and the rest is kept") {
            val path = tempdir().toPath()
            val meta = SnapshotMeta(20, 1, Membership())
            open(path) { folder, _ ->
                folder.write(entries(1L..30))
                val before = logFiles(path).size
                folder.writeSnapshot(StoredSnapshot(meta, byteArrayOf(1, 2, 3)))
                folder.write(listOf(StorageWrite.DropThrough(20)))
                (logFiles(path).size < before) shouldBe true
                folder.readSnapshot(20, 1, 10)!!.bytes shouldBe byteArrayOf(2, 3)
                folder.readSnapshot(19, 0, 10) shouldBe null
            }
            open(path) { _, state ->
                state.snapshot!!.meta shouldBe meta
                state.snapshot.bytes shouldBe byteArrayOf(1, 2, 3)
                state.entries shouldBe (21L..30).map { entry(it) }
            }
        }

        test("an install that a crash interrupted is completed at start") {
            val path = tempdir().toPath()
            val snapshot = StoredSnapshot(SnapshotMeta(50, 2, Membership()), byteArrayOf(1))
            open(path) { folder, _ ->
                folder.write(entries(1L..30))
                folder.writeSnapshot(snapshot)
            }
            open(path) { folder, state ->
                state.entries shouldBe emptyList()
                folder.write(entries(51L..52, term = 2))
            }
            open(path) { _, state ->
                state.entries shouldBe (51L..52).map { entry(it, term = 2) }
            }
        }

        context("a power loss during deletions leaves no gap between segments") {
            val installed = StoredSnapshot(SnapshotMeta(50, 2, Membership()), byteArrayOf(1))
            withData(
                nameFn = { it::class.simpleName.orEmpty() },
                StorageWrite.DropThrough(25),
                StorageWrite.Install(installed),
                StorageWrite.Entries(listOf(entry(2, term = 2)))
            ) { write ->
                val path = tempdir().toPath()
                val logFolder = path.resolve("log")
                val durable = mutableListOf<Set<Path>>()
                val check: WriteCheck = { if (it == logFolder) durable += logFiles(path).toSet() }
                open(path, check) { folder, _ ->
                    folder.write(entries(1L..30))
                    durable.clear()
                    durable += logFiles(path).toSet()
                    folder.write(listOf(write))
                }
                (durable.size > 2) shouldBe true
                durable.zipWithNext { before, after -> (before - after).size }.max() shouldBe 1
            }
        }

        context("damage of the last segment") {
            // Frames of 53 bytes after a header of 8 bytes; each was synced separately.
            withData(
                nameFn = Damage::name,
                Damage("cut inside the last frame is a torn tail", null) { it.copyOf(150) },
                Damage("garbage after the last frame is a torn tail", null) { it + 7 },
                Damage("zeros after the last frame are a torn tail", null) { it + ByteArray(90) },
                Damage("a changed payload in the middle is refused", 8) {
                    it.apply { this[50] = 9 }
                },
                Damage("a changed length in the middle is refused", 61) {
                    it.apply { this[62] = 1 }
                },
                Damage("a changed file header is refused", 0) { it.apply { this[0] = 0 } }
            ) { damage ->
                val path = tempdir().toPath()
                open(path) { folder, _ -> (1L..3).forEach { folder.write(entries(it..it)) } }
                val file = logFiles(path).single()
                Files.write(file, damage.change(Files.readAllBytes(file)))
                if (damage.badOffset == null) {
                    val kept = open(path) { _, state -> state.entries.map { it.index } }
                    kept shouldBe (1L..kept.size).toList()
                    open(path) { folder, _ -> folder.write(entries(kept.size + 1L..9)) }
                    open(path) { _, state -> state.entries.map { it.index } } shouldBe
                        (1L..9).toList()
                } else {
                    val error = shouldThrow<StorageException> { open(path) { _, _ -> } }.error
                    error.shouldBeInstanceOf<StorageError.Damaged>()
                    error.file shouldBe file
                    error.offset shouldBe damage.badOffset
                }
            }
        }

        test("a hole in the frames since the last sync is a torn tail, not damage") {
            val path = tempdir().toPath()
            open(path) { folder, _ ->
                folder.write(entries(1L..1))
                folder.write(entries(2L..3))
            }
            val file = logFiles(path).single()
            Files.write(file, Files.readAllBytes(file).apply { this[100] = 9 })
            open(path) { _, state -> state.entries.map { it.index } shouldBe listOf(1L) }
        }

        test("a missing segment is refused") {
            val path = tempdir().toPath()
            open(path) { folder, _ -> folder.write(entries(1L..30)) }
            Files.delete(logFiles(path)[2])
            shouldThrow<StorageException> { open(path) { _, _ -> } }
                .error.shouldBeInstanceOf<StorageError.Damaged>()
        }

        test("damage of an earlier segment is refused") {
            val path = tempdir().toPath()
            open(path) { folder, _ -> folder.write(entries(1L..30)) }
            val file = logFiles(path)[2]
            Files.write(file, Files.readAllBytes(file).let { it.copyOf(it.size - 1) })
            shouldThrow<StorageException> { open(path) { _, _ -> } }
                .error.shouldBeInstanceOf<StorageError.Damaged>().file shouldBe file
        }

        test("a log without identity is refused: a new identity could vote twice in a term") {
            val path = tempdir().toPath()
            open(path) { folder, _ -> folder.write(entries(1L..1)) }
            Files.delete(path.resolve("identity"))
            shouldThrow<StorageException> { open(path) { _, _ -> } }
                .error.shouldBeInstanceOf<StorageError.Damaged>()
        }

        test("a folder is used by one process only") {
            val path = tempdir().toPath()
            open(path) { _, _ ->
                shouldThrow<StorageException> { open(path) { _, _ -> } }
                    .error shouldBe StorageError.InUse(path)
            }
            open(path) { folder, _ -> folder.replicaId shouldNotBe ReplicaId("") }
        }

        test("a failed write is reported with its file and loses nothing written before") {
            val path = tempdir().toPath()
            var failing = false
            val check: WriteCheck = { if (failing) throw IOException("No space left on device") }
            open(path, check) { folder, _ ->
                folder.write(entries(1L..5))
                failing = true
                val error = shouldThrow<StorageException> { folder.write(entries(6L..9)) }.error
                error shouldBe
                    StorageError.Failed(logFiles(path).last(), "No space left on device")
                failing = false
            }
            open(path) { _, state -> state.entries.take(5) shouldBe (1L..5).map { entry(it) } }
        }

        test("a write of entries without enough free space is refused before any is written") {
            val path = tempdir().toPath()
            val settings = FolderSettings(minFreeBytes = Long.MAX_VALUE)
            replicaFolder(path, settings).use { folder ->
                folder.load()
                shouldThrow<StorageException> { folder.write(entries(1L..1)) }
                    .error.shouldBeInstanceOf<StorageError.Full>()
            }
            open(path) { _, state -> state.entries shouldBe emptyList() }
        }

        test("a damaged vote file is refused") {
            val path = tempdir().toPath()
            open(path) { folder, _ -> folder.write(listOf(StorageWrite.Vote(3, null))) }
            Files.write(path.resolve("vote"), blob("other").bytes)
            shouldThrow<StorageException> { open(path) { _, _ -> } }
                .error.shouldBeInstanceOf<StorageError.Damaged>()
        }
    })
