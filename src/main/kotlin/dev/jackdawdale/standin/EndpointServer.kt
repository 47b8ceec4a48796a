package dev.jackdawdale.standin

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelPipeline
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlinx.serialization.encodeToString

/** A valid request to the endpoint. */
internal class Run(val workId: String, val token: Long, val body: ByteArray)

/** Run time, result and answer of one request. */
internal data class RunPlan(val runMs: Long, val result: String, val answer: Mark)

/** Callbacks of the server; called on its only thread. */
internal class RunListener(
    val plan: (Run) -> RunPlan,
    val started: (Run) -> Unit,
    val ended: (Run, result: String) -> Unit
)

/** The HTTP server of a sample endpoint. All requests are handled on one thread. */
internal class EndpointServer(private val listener: RunListener) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private var channel: Channel? = null

    /** Starts listening and returns the port. */
    fun start(address: String, port: Int): Int {
        val bound = ServerBootstrap().group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(ch: SocketChannel) = addHandlers(ch.pipeline())
            })
            .bind(address, port).sync().channel()
        channel = bound
        return (bound.localAddress() as InetSocketAddress).port
    }

    /** Runs [task] on the server's thread. */
    fun execute(task: () -> Unit) = group.execute(task)

    override fun close() {
        channel?.close()?.sync()
        group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS).sync()
    }

    private fun addHandlers(pipeline: ChannelPipeline) {
        pipeline.addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES))
        pipeline.addLast(RunHandler(listener))
    }
}

private class RunHandler(private val listener: RunListener) :
    SimpleChannelInboundHandler<FullHttpRequest>() {
    private var running: Run? = null

    override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
        val workId = request.headers()["Jackdawdale-Work-Id"]
        val token = request.headers()["Jackdawdale-Token"]?.toLongOrNull()
        if (request.uri() != "/v1/run" || workId == null || token == null) {
            reply(ctx, HttpResponseStatus.BAD_REQUEST, "not a run of this system\n".toByteArray())
            return
        }
        val body = ByteArray(request.content().readableBytes())
        request.content().readBytes(body)
        val run = Run(workId, token, body)
        val plan = listener.plan(run)
        running = run
        listener.started(run)
        ctx.executor().schedule({ finish(ctx, run, plan) }, plan.runMs, TimeUnit.MILLISECONDS)
    }

    private fun finish(ctx: ChannelHandlerContext, run: Run, plan: RunPlan) {
        running = null
        listener.ended(run, plan.result)
        val body = snakeJson.encodeToString(plan.answer).encodeToByteArray()
        when (plan.result) {
            RESULT_FAILED -> reply(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, body)
            RESULT_CUT -> replyTruncated(ctx, body)
            else -> reply(ctx, HttpResponseStatus.OK, body)
        }
    }

    private fun reply(ctx: ChannelHandlerContext, status: HttpResponseStatus, body: ByteArray) {
        ctx.writeAndFlush(response(status, body, body.size))
    }

    private fun replyTruncated(ctx: ChannelHandlerContext, body: ByteArray) {
        val half = body.copyOf(body.size / 2)
        ctx.writeAndFlush(response(HttpResponseStatus.OK, half, body.size))
            .addListener(ChannelFutureListener.CLOSE)
    }

    private fun response(status: HttpResponseStatus, body: ByteArray, announcedBytes: Int) =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body)).apply {
            headers()[HttpHeaderNames.CONTENT_TYPE] = "application/json"
            HttpUtil.setContentLength(this, announcedBytes.toLong())
        }

    @Deprecated("Deprecated in the supertype")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}

internal const val RESULT_SUCCEEDED = "succeeded"
internal const val RESULT_FAILED = "failed"
internal const val RESULT_CUT = "cut"
private const val MAX_BODY_BYTES = 16 * 1024 * 1024
private const val SHUTDOWN_MS = 2_000L
