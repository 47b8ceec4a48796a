package dev.jackdawdale.bench

import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.TaskId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.encode
import dev.jackdawdale.replica.ProposeResult
import dev.jackdawdale.replica.ReplicaSettings
import dev.jackdawdale.storage.replicaFolder
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import org.HdrHistogram.SynchronizedHistogram

private const val ROUNDS = 2
private const val RUN_MS = 3_000L
private const val ENTRIES_IN_FLIGHT = 64

/** Measures durable task placements per second on three replicas, by placements per log entry. */
internal fun measureReplicaThroughput(seed: Long, report: (Figure) -> Unit) {
    repeat(ROUNDS) {
        for (batch in listOf(1, 4, 16, 64)) {
            withCell(seed) { cell ->
                val run = runPlacements(cell, batch)
                val variant = "batch-$batch"
                fun figure(what: String, value: Double, unit: String) =
                    report(Figure("replica-$what", variant, value, unit, seed))
                figure("throughput", run.placementsPerSecond, "1/s")
                figure("commit-p50", run.commitMicros(50.0) / MICROS_PER_MS, "ms")
                figure("commit-p99", run.commitMicros(99.0) / MICROS_PER_MS, "ms")
            }
        }
    }
}

private const val MICROS_PER_MS = 1_000.0

private class PlacementRun(
    val placementsPerSecond: Double,
    private val histogram: SynchronizedHistogram
) {
    fun commitMicros(percentile: Double): Double =
        histogram.getValueAtPercentile(percentile).toDouble()
}

/** Proposes entries of [batch] placements, with [ENTRIES_IN_FLIGHT] of them uncommitted. */
private fun runPlacements(cell: ReplicaCell, batch: Int): PlacementRun {
    val leader = cell.awaitLeader()
    val payload = placements(batch)
    val histogram = SynchronizedHistogram(TimeUnit.MINUTES.toMicros(1), 3)
    val proposedAt = java.util.concurrent.ConcurrentHashMap<Long, Long>()
    val permits = Semaphore(ENTRIES_IN_FLIGHT)
    val committed = AtomicLong()
    cell.onApplied = { index ->
        val sinceNanos = proposedAt.remove(index)
        if (sinceNanos != null) {
            histogram.recordValue((System.nanoTime() - sinceNanos) / 1_000)
            committed.incrementAndGet()
            permits.release()
        }
    }
    val startMs = nowMs()
    while (nowMs() - startMs < RUN_MS) {
        permits.acquire()
        leader.onControl {
            val result = leader.propose(payload)
            check(result is ProposeResult.Appended) { "leadership was lost during the run" }
            proposedAt[result.index] = System.nanoTime()
        }
    }
    val perSecond = committed.get() * batch * 1_000.0 / (nowMs() - startMs)
    permits.acquire(ENTRIES_IN_FLIGHT)
    return PlacementRun(perSecond, histogram)
}

/** Measures the catch-up time of a restarted replica, by missed entries. */
internal fun measureReplicaCatchUp(seed: Long, report: (Figure) -> Unit) {
    for (missed in listOf(1_000L, 10_000L, 50_000L)) {
        for (snapshots in listOf(false, true)) {
            val adjust: (ReplicaSettings) -> ReplicaSettings = {
                if (snapshots) {
                    it.copy(snapshotEveryEntries = missed / 2, retainedEntries = 0)
                } else {
                    it.withoutSnapshots()
                }
            }
            withCell(seed, adjust) { cell ->
                val leader = cell.awaitLeader()
                val follower = cell.nodes.values.first { it != leader }
                follower.stop()
                proposeMany(leader, missed)
                awaitThat { leader.applied.get() == missed }
                follower.applied.set(0)
                val startMs = nowMs()
                follower.start()
                awaitThat { follower.applied.get() == missed }
                val variant = "missed-$missed-" + if (snapshots) "snapshot" else "log"
                val value = (nowMs() - startMs).toDouble()
                report(Figure("replica-catch-up", variant, value, "ms", seed))
            }
        }
    }
}

/** Measures the time to open a folder and read its log, by entries. */
internal fun measureReplicaRecovery(seed: Long, report: (Figure) -> Unit) {
    for (entries in listOf(1_000L, 10_000L, 100_000L)) {
        withCell(seed, ReplicaSettings::withoutSnapshots) { cell, folder ->
            val leader = cell.awaitLeader()
            proposeMany(leader, entries)
            awaitThat { leader.applied.get() == entries }
            leader.stop()
            val startNanos = System.nanoTime()
            val read = replicaFolder(folder.resolve(leader.hostId.value)).use { it.load() }
            val value = (System.nanoTime() - startNanos) / 1e6
            check(read.entries.size >= entries)
            report(Figure("replica-recovery", "entries-$entries", value, "ms", seed))
        }
    }
}

private fun proposeMany(leader: ReplicaCell.BenchNode, entries: Long) {
    val payload = placements(1)
    var proposed = 0L
    while (proposed < entries) {
        val group = minOf(ENTRIES_IN_FLIGHT.toLong(), entries - proposed)
        leader.onControl { repeat(group.toInt()) { leader.propose(payload) } }
        proposed += group
        awaitThat { leader.applied.get() >= proposed - 4 * ENTRIES_IN_FLIGHT }
    }
}

private fun ReplicaSettings.withoutSnapshots() = copy(snapshotEveryEntries = Long.MAX_VALUE / 8)

private fun placements(count: Int): ByteArray = EventBatch(
    atMs = 1_000_000,
    events = List(count) { number ->
        Event.TaskPlaced(
            TaskId("customer/request-$number#0"),
            WorkerId("worker-$number"),
            1,
            FencingToken(number.toLong()),
            Resources(1_000, 1_024)
        )
    }
).encode()

private fun withCell(
    seed: Long,
    adjust: (ReplicaSettings) -> ReplicaSettings = { it },
    use: (ReplicaCell) -> Unit
) = withCell(seed, adjust) { cell, _ -> use(cell) }

/** Runs [use] with three replicas whose files are below `target` in the working folder. */
private fun withCell(
    seed: Long,
    adjust: (ReplicaSettings) -> ReplicaSettings,
    use: (ReplicaCell, Path) -> Unit
) {
    val target = Files.createDirectories(Path.of("target"))
    val folder = Files.createTempDirectory(target, "bench-replica")
    try {
        ReplicaCell(folder, seed, adjust).use { cell ->
            cell.startAll()
            use(cell, folder)
        }
    } finally {
        folder.toFile().deleteRecursively()
    }
}
