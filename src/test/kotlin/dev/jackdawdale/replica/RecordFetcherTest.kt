package dev.jackdawdale.replica

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.raft.RecordBatch
import dev.jackdawdale.raft.RecordFetch
import dev.jackdawdale.raft.ReplicaId
import dev.jackdawdale.records.record
import dev.jackdawdale.records.recordStore
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import java.util.concurrent.Executor
import kotlinx.serialization.encodeToByteArray

private val direct = Executor { it.run() }
private const val MAX_FRAME_BYTES = 1024 * 1024

private class Peers(hosts: List<String>, folder: (String) -> java.nio.file.Path) {
    val stores = hosts.associateWith { recordStore(folder(it), direct) }
    private val messages = ArrayDeque<Triple<HostId, HostId, RaftMessage>>()
    val fetchers = stores.mapValues { (host, store) ->
        RecordFetcher(ReplicaId(host), store, ReplicaThreads(direct, direct)) { to, message ->
            val bytes = cellCbor.encodeToByteArray(message)
            check(bytes.size < MAX_FRAME_BYTES) { "message of ${bytes.size} bytes exceeds a frame" }
            messages += Triple(HostId(host), to, message)
        }
    }

    fun deliverAll(nowMs: Long) {
        while (messages.isNotEmpty()) {
            val (from, to, message) = messages.removeFirst()
            val fetcher = fetchers.getValue(to.value)
            when (message) {
                is RecordFetch -> fetcher.serve(from, message)
                is RecordBatch -> fetcher.onBatch(from, message, nowMs)
                else -> error("unexpected $message")
            }
        }
    }
}

class RecordFetcherTest :
    FunSpec({
        test("a replica with an empty disk gets all records, also those larger than a message") {
            val peers = Peers(listOf("empty", "blank", "full")) { tempdir().toPath() }
            val full = peers.stores.getValue("full")
            full.append((0L until 3_000).map { record(it) }, 1)
            full.append((3_000L until 3_003).map { record(it, answerBytes = 1_500_000) }, 2)
            val empty = peers.stores.getValue("empty")
            empty.expectCount(3_003)
            val others = listOf("blank", "full").map(::HostId)
            for (nowMs in 0L..3_000 step 100) {
                peers.fetchers.getValue("empty").tick(others, nowMs)
                peers.deliverAll(nowMs)
            }
            empty.syncedThrough() shouldBe 3_002
            empty.chainHash(3_002) shouldBe full.chainHash(3_002)
        }
    })
