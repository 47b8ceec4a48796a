package dev.jackdawdale.entry

import dev.jackdawdale.bench.LoopbackLeader
import dev.jackdawdale.bench.loopbackPeer
import dev.jackdawdale.model.TokenHash
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.testing.conditionTimeout
import io.kotest.assertions.nondeterministic.eventually
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

internal const val ACME_TOKEN = "acme:secret"
internal const val OPERATOR_TOKEN = "operator:secret"
internal const val MEMBER_TOKEN = "member:secret"

/** A loopback endpoint that records its requests; [serve] writes the raw responses. */
internal class ScriptedEndpoint(private val serve: (Socket, request: String) -> Unit) :
    AutoCloseable {
    private val listening = ServerSocket(0, 50, java.net.InetAddress.getLoopbackAddress())
    val requests = CopyOnWriteArrayList<String>()
    val connections = CopyOnWriteArrayList<Socket>()
    val port: Int get() = listening.localPort

    init {
        thread(isDaemon = true) {
            while (!listening.isClosed) {
                val socket = runCatching { listening.accept() }.getOrNull() ?: break
                connections += socket
                thread(isDaemon = true) { runCatching { readRequests(socket) } }
            }
        }
    }

    private fun readRequests(socket: Socket) {
        val input = socket.getInputStream().buffered()
        while (true) {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                if (byte < 0) return
                head.append(byte.toChar())
            }
            val length = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head)
            val body = input.readNBytes(length?.groupValues?.get(1)?.toInt() ?: 0)
            val request = head.toString() + body.toString(Charsets.ISO_8859_1)
            requests += request
            serve(socket, request)
        }
    }

    override fun close() {
        listening.close()
        connections.forEach { it.close() }
    }
}

internal fun Socket.answer(text: String) = getOutputStream().run {
    write(text.toByteArray(Charsets.ISO_8859_1))
    flush()
}

/** An entry host with its HTTP server, a leader without a log and a scripted endpoint. */
internal class EntryFixture(
    settings: EntrySettings = EntrySettings(),
    http: HttpSettings = HttpSettings(),
    serve: (Socket, String) -> Unit = { socket, _ ->
        socket.answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: text/plan\r\n\r\nplan")
    }
) : AutoCloseable {
    val endpoint = ScriptedEndpoint(serve)
    val leader = LoopbackLeader(loopbackPeer("c1"), endpointPort = { endpoint.port }).apply {
        contracts = listOf(
            sampleContract("acme").copy(tokenHashes = listOf(hashToken(ACME_TOKEN))),
            sampleContract("other").copy(tokenHashes = listOf(hashToken("other:secret")))
        )
        start()
    }
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val host = entryHost(settings, loopbackPeer("h1", leader.port), registry).apply { start() }
    val server = httpServer(
        http.withHashes(),
        host.routes + processRoutes(registry, host::notReadyReason) { "[\"$it\"]" },
        host::customerTokens,
        registry
    ).apply { start() }
    private val client = HttpClient.newHttpClient()

    suspend fun awaitReady(): EntryFixture = apply {
        eventually(conditionTimeout) { check(host.notReadyReason() == null) }
    }

    fun call(
        method: String,
        path: String,
        body: String = "",
        token: String? = null,
        headers: Map<String, String> = emptyMap()
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${server.port}$path"))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        token?.let { request.header("Authorization", "Bearer $it") }
        headers.forEach { (name, value) -> request.header(name, value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }

    fun submit(id: String, body: String = "pane", headers: Map<String, String> = emptyMap()) = call(
        "POST",
        "/v1/services/planning/requests",
        body,
        ACME_TOKEN,
        mapOf("Jackdawdale-Request-Id" to id) + headers
    )

    /** Sends raw bytes; returns what arrives until the end or until [maxMs] without data. */
    fun raw(text: ByteArray, maxMs: Int = 5_000): String =
        Socket("127.0.0.1", server.port).use { socket ->
            socket.soTimeout = maxMs
            socket.getOutputStream().write(text)
            val received = StringBuilder()
            runCatching {
                while (true) {
                    val byte = socket.getInputStream().read()
                    if (byte < 0) break
                    received.append(byte.toChar())
                }
            }
            received.toString()
        }

    override fun close() {
        server.close()
        host.close()
        leader.close()
        endpoint.close()
    }
}

private fun HttpSettings.withHashes(): HttpSettings = copy(
    operatorTokenHashes = listOf<TokenHash>(hashToken(OPERATOR_TOKEN)),
    memberTokenHashes = listOf(hashToken(MEMBER_TOKEN))
)
