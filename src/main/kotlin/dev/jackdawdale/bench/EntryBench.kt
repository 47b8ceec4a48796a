package dev.jackdawdale.bench

import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.Resources
import java.io.File
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val ENDPOINTS = 16
private const val BODY_BYTES = 1_024
private const val ANSWER_BYTES = 2_048
private const val CONNECTIONS = 48
private const val PACED_CONNECTIONS = 16
private const val PACED_RATE_PER_SEC = 1_000
private const val ROUNDS = 4
private const val WARM_UP_MS = 8_000L
private const val ROUND_MS = 3_000L
private const val CHILD_HEAP = "-Xmx128m"
private const val CONTRACT_LIMIT = 1_000_000

/**
 * Measures the entry path on loopback. Callers, a leader without a log and instant endpoints are in
 * this process, the entry host is alone in another. The variant `direct` calls an endpoint without
 * the system; its latency is the baseline for the entry path.
 */
internal fun measureEntry(seed: Long, report: (Figure) -> Unit) {
    val endpoints = List(ENDPOINTS) { InstantEndpoint(ANSWER_BYTES) }
    val nextEndpoint = AtomicInteger()
    val leader = LoopbackLeader(loopbackPeer("c1"), endpointPort = {
        endpoints[Math.floorMod(nextEndpoint.getAndIncrement(), ENDPOINTS)].port
    })
    leader.recordsCalls = false
    leader.contracts = listOf(openContract("bench"))
    leader.start()
    val child = startChild(leader.port)
    try {
        val port = checkNotNull(child.inputReader().readLine()) { "the entry host exited" }.toInt()
        EntryRun(port, endpoints.first().port, child.toHandle(), seed, report).run()
    } finally {
        child.outputWriter().close()
        child.waitFor(10, TimeUnit.SECONDS)
        child.destroy()
        leader.close()
        endpoints.forEach { it.close() }
    }
}

private fun startChild(leaderPort: Int): Process {
    val java = File(System.getProperty("java.home"), "bin/java").path
    return ProcessBuilder(
        java,
        CHILD_HEAP,
        "-cp",
        System.getProperty("java.class.path"),
        "dev.jackdawdale.bench.EntryChildKt",
        leaderPort.toString()
    ).redirectError(ProcessBuilder.Redirect.INHERIT).start()
}

private class EntryRun(
    private val entryPort: Int,
    private val directPort: Int,
    private val child: ProcessHandle,
    private val seed: Long,
    private val report: (Figure) -> Unit
) {
    private val body = "b".repeat(BODY_BYTES)

    fun run() {
        val paced = mapOf("entry" to entryPort, "direct" to directPort)
        load(entryPort, CONNECTIONS, WARM_UP_MS, 0, ::request)
        load(directPort, CONNECTIONS, ROUND_MS, 0, ::request)
        val latencies = paced.mapValues { mutableListOf<LoadResult>() }
        repeat(ROUNDS) {
            for ((variant, port) in paced) {
                latencies.getValue(variant) +=
                    load(port, PACED_CONNECTIONS, ROUND_MS, PACED_RATE_PER_SEC, ::request)
            }
        }
        latencies.forEach { (variant, results) -> reportLatency(variant, results) }
        reportThroughput()
    }

    private fun reportLatency(variant: String, results: List<LoadResult>) {
        val all = results.first().nanos.copy()
        results.drop(1).forEach { all.add(it.nanos) }
        figure("entry_latency_p50", variant, all.getValueAtPercentile(50.0) / 1e6, "ms")
        figure("entry_latency_p99", variant, all.getValueAtPercentile(99.0) / 1e6, "ms")
        figure("entry_failed", variant, results.sumOf { it.failed }.toDouble(), "1")
    }

    private fun reportThroughput() {
        val cpuBefore = cpuMs()
        val result = load(entryPort, CONNECTIONS, ROUNDS * ROUND_MS, 0, ::request)
        val cpuMs = cpuMs() - cpuBefore
        figure("entry_throughput", "entry", result.calls / result.elapsedS, "1/s")
        figure("entry_cpu_per_request", "entry", cpuMs * 1_000 / result.calls, "us")
        figure("entry_rss", "entry", statusKib("VmRSS") / 1_024.0, "MiB")
        figure("entry_rss_peak", "entry", statusKib("VmHWM") / 1_024.0, "MiB")
        figure("entry_failed", "closed_loop", result.failed.toDouble(), "1")
    }

    private fun figure(measure: String, variant: String, value: Double, unit: String) =
        report(Figure(measure, variant, value, unit, seed))

    private fun request(number: Long): ByteArray = (
        "POST /v1/services/planning/requests HTTP/1.1\r\nHost: x\r\n" +
            "Jackdawdale-Customer: bench\r\nJackdawdale-Request-Id: $seed-$number\r\n" +
            "Content-Length: $BODY_BYTES\r\n\r\n" + body
        ).encodeToByteArray()

    private fun cpuMs(): Double = child.info().totalCpuDuration().get().toNanos() / 1e6

    private fun statusKib(name: String): Long = File("/proc/${child.pid()}/status").useLines {
        it.first { line -> line.startsWith("$name:") }.filter(Char::isDigit).toLong()
    }
}

private fun openContract(customer: String): Contract = Contract(
    customerId = CustomerId(customer),
    version = 1,
    ceiling = Resources(),
    maxRunningTasks = CONTRACT_LIMIT,
    maxRunningRequests = CONTRACT_LIMIT,
    requestRatePerSec = CONTRACT_LIMIT,
    requestBurst = CONTRACT_LIMIT,
    maxQueuedRequests = CONTRACT_LIMIT,
    maxQueuedJobs = CONTRACT_LIMIT
)
