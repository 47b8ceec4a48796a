package dev.jackdawdale.outgoing

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** One HTTP call to another process; [timeoutMs] runs from the call to the complete response. */
internal class OutgoingCall(
    val method: String,
    val path: String,
    val body: ByteArray,
    val timeoutMs: Long,
    val headers: Map<String, String> = emptyMap()
)

/** The result of an [OutgoingCall]. */
internal sealed interface CallOutcome {
    class Answered(val status: Int, val body: ByteArray) : CallOutcome

    /** No byte was sent. */
    data class NotSent(val reason: String) : CallOutcome

    /** Bytes may have been sent: the call may take effect, now or later. */
    data class Unanswered(val reason: String) : CallOutcome
}

/**
 * Limits of an [HttpCaller].
 *
 * @property maxConnections connections per address; further calls are queued
 * @property connectTimeoutMs timeout for opening a connection
 * @property maxAnswerBytes maximum size of a response body
 */
internal data class HttpCallerSettings(
    val maxConnections: Int = 6,
    val connectTimeoutMs: Int = 500,
    val maxAnswerBytes: Int = 4 * 1024 * 1024
)

/**
 * Makes HTTP/1.1 calls over pooled connections, one call at a time on each. All state is confined
 * to one event loop, on which the result callbacks run too.
 */
internal class HttpCaller(private val settings: HttpCallerSettings, group: EventLoopGroup) {
    private val loop = group.next()
    private val pools = HashMap<String, Pool>()
    private val bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs)

    /** Calls the process at [address] (`ip:port`); [onResult] is called exactly once. */
    fun call(address: String, call: OutgoingCall, onResult: (CallOutcome) -> Unit) = loop.execute {
        val pending = PendingCall(call, onResult)
        val target = socketAddress(address)
        if (target == null) {
            pending.end(CallOutcome.NotSent("not an address: $address"))
        } else {
            pools.getOrPut(address) { Pool(address, target) }.take(pending)
        }
    }

    /** Closes the idle connections to an address that is no longer used. */
    fun closePool(address: String) = loop.execute { pools.remove(address)?.close() }

    private inner class PendingCall(
        val call: OutgoingCall,
        private val onResult: (CallOutcome) -> Unit
    ) {
        var channel: Channel? = null
        var written = false
        private var ended = false
        private val timer: ScheduledFuture<*> = loop.schedule(
            {
                // The idle connections to this address may be dead too.
                channel?.pipeline()?.get(ResponseHandler::class.java)?.pool?.closeIdle()
                fail("no answer within ${call.timeoutMs} ms")
            },
            call.timeoutMs,
            TimeUnit.MILLISECONDS
        )

        val isPending: Boolean get() = !ended

        /** Ends the call and closes its connection, so that no other call gets a late response. */
        fun fail(reason: String) {
            channel?.close()
            end(if (written) CallOutcome.Unanswered(reason) else CallOutcome.NotSent(reason))
        }

        fun end(outcome: CallOutcome) {
            if (ended) return
            ended = true
            timer.cancel(false)
            onResult(outcome)
        }
    }

    private inner class Pool(private val address: String, private val target: InetSocketAddress) {
        private val idle = ArrayDeque<Channel>()
        private val waiting = ArrayDeque<PendingCall>()
        private var connections = 0

        fun take(call: PendingCall) {
            val channel = takeIdle()
            when {
                channel != null -> write(channel, call)
                connections < settings.maxConnections -> connect(call)
                else -> waiting.addLast(call)
            }
        }

        fun close() = closeIdle()

        fun closeIdle() = idle.toList().forEach { it.close() }

        private fun takeIdle(): Channel? {
            while (idle.isNotEmpty()) idle.removeLast().takeIf { it.isActive }?.let { return it }
            return null
        }

        private fun connect(call: PendingCall) {
            connections++
            bootstrap.clone().handler(Initializer(this)).connect(target).addListener { future ->
                val channel = (future as ChannelFuture).channel()
                if (!future.isSuccess) {
                    connections--
                    call.fail("cannot connect: ${future.cause().message}")
                    startNext()
                } else {
                    channel.closeFuture().addListener { closed(channel) }
                    if (call.isPending) write(channel, call) else release(channel)
                }
            }
        }

        private fun closed(channel: Channel) {
            connections--
            idle.remove(channel)
            channel.pipeline()[ResponseHandler::class.java]?.closed()
            startNext()
        }

        private fun startNext() {
            while (waiting.isNotEmpty() && !waiting.first().isPending) waiting.removeFirst()
            waiting.removeFirstOrNull()?.let(::take)
        }

        private fun write(channel: Channel, call: PendingCall) {
            val request = try {
                call.call.toRequest(address)
            } catch (e: IllegalArgumentException) {
                call.end(CallOutcome.NotSent("not a valid request: ${e.message}"))
                return release(channel)
            }
            call.channel = channel
            call.written = true
            channel.pipeline()[ResponseHandler::class.java].call = call
            channel.writeAndFlush(request).addListener {
                if (!it.isSuccess) call.fail("write failed: ${it.cause().message}")
            }
        }

        fun release(channel: Channel) {
            if (channel.isActive) idle.addLast(channel)
            startNext()
        }
    }

    private inner class Initializer(private val pool: Pool) :
        ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline()
                .addLast(HttpClientCodec())
                .addLast(HttpObjectAggregator(settings.maxAnswerBytes))
                .addLast(ResponseHandler(pool))
        }
    }

    private inner class ResponseHandler(val pool: Pool) :
        SimpleChannelInboundHandler<FullHttpResponse>() {
        var call: PendingCall? = null

        override fun channelRead0(ctx: ChannelHandlerContext, message: FullHttpResponse) {
            val pending = call
            call = null
            if (pending == null || message.decoderResult().isFailure) {
                pending?.fail("malformed answer")
                ctx.close()
                return
            }
            val keepAlive = HttpUtil.isKeepAlive(message)
            val body = ByteBufUtil.getBytes(message.content())
            pending.channel = null
            if (keepAlive) pool.release(ctx.channel()) else ctx.close()
            pending.end(CallOutcome.Answered(message.status().code(), body))
        }

        @Deprecated("Netty's name for a broken connection")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            call?.fail("the connection broke: ${cause.message}")
            ctx.close()
        }

        fun closed() {
            call?.fail("the connection was closed before the answer")
            call = null
        }
    }
}

private fun OutgoingCall.toRequest(address: String): DefaultFullHttpRequest {
    val request = DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        HttpMethod.valueOf(method),
        path,
        Unpooled.wrappedBuffer(body)
    )
    request.headers()
        .set(HttpHeaderNames.HOST, address)
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, body.size)
    headers.forEach { (name, value) -> request.headers()[name] = value }
    return request
}
