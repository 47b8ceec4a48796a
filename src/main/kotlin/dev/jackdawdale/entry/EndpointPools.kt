package dev.jackdawdale.entry

import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.outgoing.socketAddress
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import java.util.concurrent.ConcurrentHashMap

private const val MAX_HEADER_BYTES = 16 * 1024
private const val CHUNK_BYTES = 64 * 1024

/** Identifies an endpoint process; a different address means a different process. */
private data class PoolKey(val endpointId: EndpointId, val address: String, val port: Int)

/** This host's connections to all endpoints. Each carries one request at a time. */
internal class EndpointPools(
    private val settings: EntrySettings,
    private val group: EventLoopGroup
) : AutoCloseable {
    private val idle = ConcurrentHashMap<PoolKey, ArrayDeque<Channel>>()

    /** Sends the exchange on an idle connection or on a new one. */
    fun send(exchange: Exchange) {
        val key = exchange.key
        val channel = takeIdle(key)
        if (channel != null) return start(exchange, channel)
        val address = socketAddress(key.address, key.port)
            ?: return exchange.failed("not an IP address and port: ${key.address}:${key.port}")
        connector.clone().connect(address).addListener { future ->
            if (future.isSuccess) {
                start(exchange, (future as ChannelFuture).channel())
            } else {
                exchange.failed("cannot connect: ${future.cause().message}")
            }
        }
    }

    override fun close() {
        idle.keys.toList().forEach { key -> idle.remove(key)?.forEach { it.close() } }
    }

    private val connector = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs.toInt())
        .handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val decoding = HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_HEADER_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxChunkSize(CHUNK_BYTES)
                val decoder = ResponseDecoder(decoding)
                channel.pipeline()
                    .addLast(decoder)
                    .addLast(HttpRequestEncoder())
                    .addLast(EndpointConnection(settings, decoder, ::release))
            }
        })

    private fun start(exchange: Exchange, channel: Channel) {
        val connection = channel.pipeline()[EndpointConnection::class.java]
            ?: return exchange.failed("the connection was closed")
        connection.start(channel, exchange, retryOnNewConnection = { send(exchange) })
    }

    private fun takeIdle(key: PoolKey): Channel? {
        var taken: Channel? = null
        idle.computeIfPresent(key) { _, channels ->
            while (taken == null && channels.isNotEmpty()) {
                taken = channels.removeLast().takeIf { it.isActive }
            }
            channels.ifEmpty { null }
        }
        return taken
    }

    /** Returns the connection to the pool, or closes it when the pool is full. */
    private fun release(exchange: Exchange, channel: Channel) {
        val key = exchange.key
        var kept = false
        idle.compute(key) { _, present ->
            val channels = present ?: ArrayDeque()
            channels.removeAll { !it.isActive }
            if (channels.size < exchange.message.maxIdleConnections) {
                channels.addLast(channel)
                kept = true
            }
            channels.ifEmpty { null }
        }
        if (!kept) channel.close()
    }
}

private val Exchange.key: PoolKey
    get() = PoolKey(message.endpointId, message.address, message.port)
