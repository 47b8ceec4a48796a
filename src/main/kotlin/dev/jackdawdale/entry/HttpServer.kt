package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val BACKLOG = 1_024
private const val CLOSE_TIMEOUT_MS = 2_000L

/** Serves the routes of a process over HTTP/1.1. */
internal class HttpServer(
    private val settings: HttpSettings,
    routes: List<Route>,
    customerTokens: (CustomerId) -> CustomerTokens
) : AutoCloseable {
    private val group =
        MultiThreadIoEventLoopGroup(settings.threads, NioIoHandler.newFactory())
    private val authenticator = Authenticator(settings, customerTokens)
    private val router = Router(routes)
    private val openConnections = AtomicInteger()
    private var listening: Channel? = null

    /** The port that the server listens on, known after [start]. */
    val port: Int
        get() = (listening?.localAddress() as? InetSocketAddress)?.port ?: settings.port

    /** Starts to listen; fails when the port is taken or when `none` is set off loopback. */
    fun start() {
        val address = InetAddress.getByName(settings.address)
        require(settings.authMode == AuthMode.TOKEN || address.isLoopbackAddress) {
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
            val surplus = openConnections.incrementAndGet() > settings.maxConnections
            channel.closeFuture().addListener { openConnections.decrementAndGet() }
            channel.pipeline()
                .addLast(HttpServerCodec(decoding))
                .addLast(BodyCollector(settings.maxBodyBytes))
                .addLast(HttpConnection(settings, router, authenticator, surplus))
        }
    }
}

private const val CHUNK_BYTES = 64 * 1024

/** Makes the HTTP server of a process; nothing listens before [HttpServer.start]. */
internal fun httpServer(
    settings: HttpSettings,
    routes: List<Route>,
    customerTokens: (CustomerId) -> CustomerTokens = {
        CustomerTokens.Stale
    }
): HttpServer = HttpServer(settings, routes, customerTokens)
