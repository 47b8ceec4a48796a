package dev.jackdawdale.entry

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.Blob
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

private const val DEFAULT_TYPE = "application/octet-stream"

/**
 * One connection to an endpoint. All state is confined to the connection's event loop. After
 * anything but a complete response the connection is closed: bytes that arrive later could be taken
 * for the response to another request.
 */
internal class EndpointConnection(
    private val settings: EntrySettings,
    private val decoder: ResponseDecoder,
    private val release: (Exchange, Channel) -> Unit
) : ChannelInboundHandlerAdapter() {
    private var exchange: Exchange? = null
    private var head: HttpResponse? = null
    private var body = Unpooled.EMPTY_BUFFER
    private var timer: ScheduledFuture<*>? = null

    /** Writes the request unless it expired; [retryOnNewConnection] runs if this one is closed. */
    fun start(channel: Channel, next: Exchange, retryOnNewConnection: () -> Unit) {
        channel.eventLoop().execute {
            val nowNanos = System.nanoTime()
            timer?.cancel(false)
            when {
                !next.mayStart(nowNanos) -> {
                    next.failed("the dispatch expired before its first byte")
                    keepIdle(channel, next)
                }
                !channel.isActive -> retryOnNewConnection()
                else -> write(channel, next, nowNanos)
            }
        }
    }

    private fun write(channel: Channel, next: Exchange, nowNanos: Long) {
        exchange = next
        timer = channel.eventLoop().schedule(
            { fail(channel, "no whole answer before the deadline") },
            next.remainingMs(nowNanos),
            TimeUnit.MILLISECONDS
        )
        val request = next.request(nowNanos)
        next.written = true
        decoder.awaitingResponse = true
        channel.writeAndFlush(request).addListener { written ->
            if (!written.isSuccess) fail(channel, "write failed: ${written.cause().message}")
        }
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            receive(ctx, message as HttpObject)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun receive(ctx: ChannelHandlerContext, message: HttpObject) {
        // Messages decoded after the end of a response belong to no request.
        if (exchange == null) {
            ctx.close()
            return
        }
        if (message.decoderResult().isFailure) return fail(ctx.channel(), "malformed answer")
        if (message is HttpResponse) {
            // An interim response (1xx) is followed by the final one.
            if (message.status().code() < 200) return
            val hasMarkedEnd = HttpUtil.isContentLengthSet(message) ||
                HttpUtil.isTransferEncodingChunked(message) ||
                message.status().code() == 204 ||
                message.status().code() == 304
            if (!hasMarkedEnd) return fail(ctx.channel(), "the answer's end is not marked")
            head = message
        }
        val answerHead = head ?: return
        if (message is HttpContent) {
            if (body.readableBytes() + message.content().readableBytes() >
                settings.maxAnswerBytes
            ) {
                return fail(ctx.channel(), "answer over ${settings.maxAnswerBytes} bytes")
            }
            append(ctx, message)
            if (message is LastHttpContent) complete(ctx, answerHead)
        }
    }

    private fun append(ctx: ChannelHandlerContext, content: HttpContent) {
        if (!content.content().isReadable) return
        if (body === Unpooled.EMPTY_BUFFER) body = ctx.alloc().buffer()
        body.writeBytes(content.content())
    }

    private fun complete(ctx: ChannelHandlerContext, answerHead: HttpResponse) {
        val ended = exchange ?: return
        val type = answerHead.headers()[HttpHeaderNames.CONTENT_TYPE] ?: DEFAULT_TYPE
        val answer = Answer(answerHead.status().code(), type, Blob(ByteBufUtil.getBytes(body)))
        reset()
        if (HttpUtil.isKeepAlive(answerHead) && !decoder.hasTrailingBytes) {
            keepIdle(ctx.channel(), ended)
        } else {
            ctx.close()
        }
        ended.answered(answer)
    }

    /** Releases the connection for reuse and closes it after the idle timeout. */
    private fun keepIdle(channel: Channel, last: Exchange) {
        timer = channel.eventLoop().schedule(
            { channel.close() },
            settings.endpointIdleMs,
            TimeUnit.MILLISECONDS
        )
        release(last, channel)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) =
        fail(ctx.channel(), "the connection closed before the whole answer")

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) =
        fail(ctx.channel(), "the connection broke: ${cause.message}")

    private fun fail(channel: Channel, reason: String) {
        val ended = exchange
        reset()
        channel.close()
        ended?.failed(reason)
    }

    private fun reset() {
        timer?.cancel(false)
        timer = null
        exchange = null
        decoder.awaitingResponse = false
        head = null
        if (body !== Unpooled.EMPTY_BUFFER) body.release()
        body = Unpooled.EMPTY_BUFFER
    }
}
