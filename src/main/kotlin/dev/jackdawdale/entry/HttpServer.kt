package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.composite.CompositeMeterRegistry
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

private const val BACKLOG = 1_024
private const val CLOSE_TIMEOUT_MS = 2_000L
private const val DRAIN_POLL_MS = 20L
private const val CHUNK_BYTES = 64 * 1024

/** The state shared by all connections of a server. */
internal class ServerContext(
    val settings: HttpSettings,
    val router: Router,
    val authenticator: Authenticator,
    val metrics: HttpMetrics
) {
    val budget = BodyBudget(settings.maxBufferedBodyBytes)

    /** While true, each response closes its connection. */
    @Volatile
    var draining = false
}

/** Serves the routes of a process over HTTP/1.1. */
internal class HttpServer(private val settings: HttpSettings, private val context: ServerContext) :
    AutoCloseable {
    private val group =
        MultiThreadIoEventLoopGroup(settings.threads, NioIoHandler.newFactory())
    private val connections = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private val openConnections = AtomicInteger()
    private var listening: Channel? = null

    /** The port that the server listens on, known after [start]. */
    val port: Int
        get() = (listening?.localAddress() as? InetSocketAddress)?.port ?: settings.port

    /** Binds the port; fails when it is in use, or for [AuthMode.NONE] off loopback. */
    fun start() {
        val address = InetAddress.getByName(settings.address)
        require(settings.authMode != AuthMode.NONE || address.isLoopbackAddress) {
            "authentication mode none is allowed on loopback addresses only, not on $address"
        }
        val bootstrap = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(ConnectionInitializer())
        listening = bootstrap.bind(address, settings.port).syncUninterruptibly().channel()
    }

    /**
     * Stops listening and closes each connection once it is idle. False when connections were still
     * open after [timeoutMs].
     */
    suspend fun drain(timeoutMs: Long): Boolean {
        context.draining = true
        listening?.close()
        val deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000
        while (System.nanoTime() < deadlineNanos) {
            connections.forEach { it.pipeline()[HttpConnection::class.java]?.closeWhenIdle(it) }
            if (connections.isEmpty()) return true
            delay(DRAIN_POLL_MS)
        }
        return connections.isEmpty()
    }

    override fun close() {
        listening?.close()?.syncUninterruptibly()
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .awaitUninterruptibly(2 * CLOSE_TIMEOUT_MS)
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val decoding = HttpDecoderConfig()
                .setMaxInitialLineLength(settings.maxHeaderBytes)
                .setMaxHeaderSize(settings.maxHeaderBytes)
                .setMaxChunkSize(CHUNK_BYTES)
            val bodyBytes = BodyByteCounter(context.budget)
            val overLimit = openConnections.incrementAndGet() > settings.maxConnections
            channel.closeFuture().addListener { openConnections.decrementAndGet() }
            connections.add(channel)
            channel.pipeline()
                .addLast(HttpServerCodec(decoding))
                .addLast(bodyBytes)
                .addLast(BodyCollector(settings.maxBodyBytes))
                .addLast(HttpConnection(context, bodyBytes, overLimit))
        }
    }
}

/**
 * Creates the HTTP server of a process; it listens after [HttpServer.start].
 *
 * @param customerTokens looks up the token hashes of a customer; a process without the entry role
 * has none
 * @param fallback handles calls that match no route
 */
internal fun httpServer(
    settings: HttpSettings,
    routes: List<Route>,
    customerTokens: (CustomerId) -> CustomerTokens = { CustomerTokens.Stale },
    registry: MeterRegistry = CompositeMeterRegistry(),
    fallback: Route? = null
): HttpServer {
    val authenticator = Authenticator(settings, customerTokens)
    val context =
        ServerContext(settings, Router(routes, fallback), authenticator, HttpMetrics(registry))
    return HttpServer(settings, context)
}
