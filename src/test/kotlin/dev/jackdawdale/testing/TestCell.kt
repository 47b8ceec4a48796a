package dev.jackdawdale.testing

import dev.jackdawdale.standin.JournalEvent
import dev.jackdawdale.standin.JournalLine
import dev.jackdawdale.standin.httpClient
import dev.jackdawdale.standin.readJournal
import dev.jackdawdale.standin.snakeJson
import java.io.File
import java.io.IOException
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlinx.serialization.encodeToString

/**
 * A cell of processes of `target/jackdawdale` in a temporary folder, with sample endpoints and
 * workers. [close] kills them all; a shutdown hook does so if the test's JVM exits first.
 *
 * Example: `TestCell(CellPlan(proxied = true)).use { it.startHosts(); it.awaitReady() }`.
 */
internal class TestCell(val plan: CellPlan = CellPlan()) : AutoCloseable {
    val folder: File = Files.createTempDirectory("jackdawdale-cell").toFile()
    val hosts: List<HostPorts> = plan.hosts()
    private val processes = ConcurrentHashMap<String, CellProcess>()
    private val links = ConcurrentHashMap<Pair<String, String>, FaultProxy>()
    private val http = httpClient()
    private val shutdownHook = Thread(::stopProcesses)

    init {
        check(PROGRAM.canExecute()) { "no executable $PROGRAM; run mvn -B package first" }
        File(folder, "cluster.key").writeText("integration-test-cluster-key-0123456789\n")
        hosts.forEach { host ->
            val text = plan.ini(host, hosts) { other -> portFrom(host.id, other.id, other.peer) }
            File(folder, "${host.id}.ini").writeText(text)
            val command = listOf("$PROGRAM", "serve", "--settings", "${host.id}.ini")
            processes[host.id] = cellProcess(host.id, command)
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
    }

    val entryHosts: List<HostPorts> get() = hosts.filter {
        !it.isControl || plan.controlsAreEntries
    }

    /** The process of a host, endpoint or worker. */
    fun process(id: String): CellProcess =
        checkNotNull(processes[id]) { "no process $id; known are ${processes.keys.sorted()}" }

    fun startHosts() = hosts.forEach { process(it.id).start() }

    /** Base URL of a host for [caller]; in a proxied cell, each caller has its own proxy. */
    fun url(hostId: String, caller: String = "caller"): String {
        val host = hosts.first { it.id == hostId }
        return "http://127.0.0.1:${portFrom(caller, hostId, host.http)}"
    }

    /** The proxy between [from] and [to]; exists only in a proxied cell. */
    fun link(from: String, to: String): FaultProxy =
        checkNotNull(links[from to to]) { "no link $from -> $to; known are ${links.keys}" }

    /** Every proxied link from or to [id]. */
    fun linksOf(id: String): List<FaultProxy> =
        links.filterKeys { (from, to) -> from == id || to == id }.values.toList()

    /** Holds back every byte from and to [id] without closing a connection. */
    fun isolate(id: String) = linksOf(id).forEach { it.set(LinkFault.SilentDrop) }

    fun heal() = links.values.forEach(FaultProxy::heal)

    /** Removes the data folder of a control host that is down. */
    fun removeDataFolder(hostId: String) {
        check(!process(hostId).isAlive) { "$hostId must be down before its data folder is removed" }
        File(folder, "data-$hostId").deleteRecursively()
    }

    /** Starts a sample endpoint with additional command line [options]. */
    fun startEndpoint(id: String, service: String, vararg options: String): CellProcess {
        val listenPort = freePorts(1).single()
        val announced = portFrom("entry", id, listenPort)
        val command = listOf(
            "$PROGRAM", "sample", "endpoint", "--id", id, "--service", service,
            "--entry", entryUrls(id), "--port", "$listenPort", "--announce-port", "$announced",
            "--journal", "$id.jsonl"
        )
        return startSample(id, command + options)
    }

    /** Starts a sample worker with additional command line [options]. */
    fun startWorker(id: String, vararg options: String): CellProcess {
        val command = listOf(
            "$PROGRAM", "sample", "worker", "--id", id, "--entry", entryUrls(id),
            "--journal", "$id.jsonl"
        )
        return startSample(id, command + options)
    }

    /** Runs a command against the entry hosts; returns its exit status and standard output. */
    fun run(vararg args: String): Pair<Int, String> {
        val builder = ProcessBuilder(listOf("$PROGRAM") + args).directory(folder)
            .redirectError(File(folder, "commands.log"))
        builder.environment()["JACKDAWDALE_HOSTS"] = entryUrls("operator")
        val process = builder.start()
        val output = process.inputStream.readBytes().decodeToString()
        return process.waitFor() to output
    }

    /** Kills [id]; writes the `down` line that a killed endpoint or worker cannot write itself. */
    fun kill(id: String) {
        val target = process(id)
        // A paused process has done nothing since the pause began.
        val pausedAtMs = target.pausedAtMs
        target.kill()
        val atMs = pausedAtMs ?: System.currentTimeMillis()
        val journal = File(folder, "$id.jsonl")
        if (!journal.exists()) return
        val line = JournalLine(atMs, id, 0, JournalEvent.DOWN, result = "killed")
        journal.appendText("\n" + snakeJson.encodeToString(line) + "\n")
    }

    /** The journals of all endpoints and workers. */
    fun journals(): List<JournalLine> = folder.listFiles { file -> file.extension == "jsonl" }
        .orEmpty().sorted().flatMap { readJournal(it.toPath()) }

    /** The last [lines] log lines of each process, for failure messages. */
    fun logs(lines: Int = 20): String = processes.values.sortedBy { it.name }.joinToString("\n") {
        "--- ${it.name} (alive: ${it.isAlive})\n" +
            (if (it.log.exists()) it.log.readLines().takeLast(lines) else emptyList())
                .joinToString("\n")
    }

    /** Waits until each entry host answers `GET /ready` with 200. */
    fun awaitReady(timeoutMs: Long = 30_000) = entryHosts.forEach { awaitReady(it.id, timeoutMs) }

    fun awaitReady(hostId: String, timeoutMs: Long) {
        val url = "http://127.0.0.1:${hosts.first { it.id == hostId }.http}/ready"
        awaitUntil("$hostId ready", timeoutMs) { statusOf(url) == 200 }
    }

    /** Waits for [condition]; on a timeout, the error contains [what] and the logs. */
    fun awaitUntil(what: String, timeoutMs: Long, condition: () -> Boolean) {
        val endMs = System.currentTimeMillis() + timeoutMs
        while (!condition()) {
            check(System.currentTimeMillis() < endMs) {
                "timed out after $timeoutMs ms: $what\n${logs()}"
            }
            Thread.sleep(POLL_MS)
        }
    }

    override fun close() {
        stopProcesses()
        links.values.forEach(FaultProxy::close)
        folder.deleteRecursively()
        Runtime.getRuntime().removeShutdownHook(shutdownHook)
    }

    private fun stopProcesses() = processes.values.forEach(CellProcess::close)

    private fun startSample(id: String, command: List<String>): CellProcess {
        val sample = cellProcess(id, command)
        check(processes.putIfAbsent(id, sample) == null) { "process $id already exists" }
        sample.start()
        return sample
    }

    private fun cellProcess(id: String, command: List<String>) =
        CellProcess(id, command, File(folder, "$id.log"), folder)

    private fun entryUrls(caller: String) = entryHosts.joinToString(",") { url(it.id, caller) }

    private fun portFrom(from: String, to: String, port: Int): Int {
        if (!plan.proxied) return port
        return links.computeIfAbsent(from to to) { FaultProxy(port) }.port
    }

    private fun statusOf(url: String): Int? = try {
        val request = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(2)).build()
        http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
    } catch (_: IOException) {
        null
    }
}

internal val PROGRAM: File = File("target/jackdawdale").absoluteFile
private const val POLL_MS = 20L
