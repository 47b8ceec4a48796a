package dev.jackdawdale.standin

import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** One call that a [FakeEntryHost] received. */
internal data class Call(
    val method: String,
    val path: String,
    val headers: Map<String, String>,
    val body: String
)

/** An answer of a [FakeEntryHost]; [cut] closes the connection after half of the body. */
internal data class FakeAnswer(
    val status: Int,
    val body: String = "",
    val headers: Map<String, String> = emptyMap(),
    val cut: Boolean = false
)

/** An HTTP server on loopback that answers calls with [answer] and records them. */
internal class FakeEntryHost(port: Int = 0, private val answer: (Call) -> FakeAnswer) :
    AutoCloseable {
    val calls = CopyOnWriteArrayList<Call>()
    private val threads = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", port), 0)
    val url: String get() = "http://127.0.0.1:${server.address.port}"

    init {
        server.executor = threads
        server.createContext("/") { exchange ->
            val call = Call(
                exchange.requestMethod,
                exchange.requestURI.toString(),
                exchange.requestHeaders.map { it.key.lowercase() to it.value.first() }.toMap(),
                exchange.requestBody.readBytes().decodeToString()
            )
            calls += call
            val reply = answer(call)
            val bytes = reply.body.encodeToByteArray()
            reply.headers.forEach { (name, value) -> exchange.responseHeaders[name] = value }
            val length = if (bytes.isEmpty()) -1L else bytes.size.toLong()
            exchange.sendResponseHeaders(reply.status, length)
            val sent = if (reply.cut) bytes.size / 2 else bytes.size
            exchange.responseBody.write(bytes, 0, sent)
            exchange.close()
        }
        server.start()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }
}
