package dev.jackdawdale.bench

import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.cellCbor
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.replica.ProposeResult
import dev.jackdawdale.replica.Replica
import dev.jackdawdale.replica.ReplicaCallbacks
import dev.jackdawdale.replica.ReplicaSettings
import dev.jackdawdale.replica.ReplicaThreads
import dev.jackdawdale.replica.replica
import dev.jackdawdale.storage.ReplicaStorage
import dev.jackdawdale.storage.replicaFolder
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

private const val TICK_MS = 20L

/** Three replicas in one process, with real files; messages are encoded, but use no network. */
internal class ReplicaCell(
    private val folder: Path,
    private val seed: Long,
    private val adjust: (ReplicaSettings) -> ReplicaSettings = { it }
) : AutoCloseable {
    val hostIds = listOf("h1", "h2", "h3").map(::HostId)
    val nodes = hostIds.associateWith { BenchNode(it) }

    /** Called on the control thread of the leader for each entry that it applies. */
    @Volatile var onApplied: (index: Long) -> Unit = {}

    inner class BenchNode(val hostId: HostId) {
        private val control = Executors.newSingleThreadScheduledExecutor()
        private val disk = Executors.newSingleThreadExecutor()
        private val background = Executors.newSingleThreadExecutor()
        private lateinit var storage: ReplicaStorage

        @Volatile private var replica: Replica? = null

        @Volatile var leads = false
        val applied = AtomicLong()

        fun start() = onControl {
            storage = replicaFolder(folder.resolve(hostId.value))
            val index = hostIds.indexOf(hostId)
            val settings = adjust(ReplicaSettings(hostId, hostIds, seed = seed + index))
            val threads = ReplicaThreads(control, disk, background)
            val started = replica(settings, storage, callbacks(), threads, nowMs())
            replica = started
            started.start(nowMs())
            control.scheduleWithFixedDelay(
                { replica?.tick(nowMs()) },
                TICK_MS,
                TICK_MS,
                TimeUnit.MILLISECONDS
            )
        }

        fun stop() {
            onControl {
                replica?.stop()
                replica = null
                leads = false
            }
            disk.submit { storage.close() }.get()
        }

        fun receive(from: HostId, bytes: ByteArray) = try {
            control.execute {
                replica?.receive(from, cellCbor.decodeFromByteArray<RaftMessage>(bytes), nowMs())
            }
        } catch (_: RejectedExecutionException) {
            // The cell is closing.
        }

        fun propose(payload: ByteArray): ProposeResult? = replica?.propose(payload, nowMs())

        fun <T> onControl(action: () -> T): T = control.submit<T>(action).get()

        fun shutDown() {
            if (replica != null) stop()
            for (thread in listOf(disk, background, control)) {
                thread.shutdown()
                thread.awaitTermination(AWAIT_LIMIT_MS, TimeUnit.MILLISECONDS)
            }
        }

        private fun callbacks() = ReplicaCallbacks(
            send = { to, message ->
                nodes.getValue(to).receive(hostId, cellCbor.encodeToByteArray(message))
            },
            apply = { index, _ ->
                applied.incrementAndGet()
                if (leads) onApplied(index)
            },
            restore = { _, snapshot -> applied.set(ByteBuffer.wrap(snapshot).getLong()) },
            capture = { encoderOf(applied.get()) },
            becameLeader = { leads = true },
            lostLeadership = { leads = false }
        )
    }

    fun startAll() = nodes.values.forEach { it.start() }

    fun awaitLeader(): BenchNode {
        awaitThat { nodes.values.any { it.leads } }
        return nodes.values.first { it.leads }
    }

    override fun close() = nodes.values.forEach { it.shutDown() }
}

private fun encoderOf(count: Long): () -> ByteArray =
    { ByteBuffer.allocate(Long.SIZE_BYTES).putLong(count).array() }

private const val AWAIT_LIMIT_MS = 120_000L

internal fun awaitThat(condition: () -> Boolean) {
    val endMs = nowMs() + AWAIT_LIMIT_MS
    while (!condition()) {
        check(nowMs() < endMs) { "the condition did not hold within $AWAIT_LIMIT_MS ms" }
        Thread.sleep(1)
    }
}

internal fun nowMs(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
