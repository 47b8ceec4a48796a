package dev.jackdawdale.entry

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.entry")
private const val MAX_PIPELINED = 16

/** Time that a client has to read the response to a request that was only partly read. */
private const val LINGER_MS = 1_000L

/**
 * One client connection. Requests are handled one at a time, in order of arrival. A call continues
 * when its client disconnects.
 */
internal class HttpConnection(
    private val server: ServerContext,
    private val bodyBytes: BodyByteCounter,
    private val overLimit: Boolean
) : ChannelInboundHandlerAdapter() {
    private val settings = server.settings
    private val waiting = ArrayDeque<Any>()
    private var busy = false
    private var serving = false
    private var closing = false
    private var deadline: ScheduledFuture<*>? = null
    private lateinit var scope: CoroutineScope

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        scope = CoroutineScope(SupervisorJob() + ctx.executor().asCoroutineDispatcher())
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        if (overLimit) {
            val error = unavailable("too_many_connections", "this host has no connection free")
            respond(ctx, error.toResult(), keepAlive = false)
            return
        }
        closeAfter(ctx, settings.idleTimeoutMs)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (closing) {
            ReferenceCountUtil.release(message)
            return
        }
        waiting.addLast(message)
        if (waiting.size > MAX_PIPELINED) ctx.channel().config().isAutoRead = false
        serveWaiting(ctx)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        closing = true
        deadline?.cancel(false)
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
    }

    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        log.debug("connection from {} failed: {}", ctx.channel().remoteAddress(), cause.message)
        ctx.close()
    }

    // A loop: recursion would overflow the stack with thousands of pipelined calls.
    private fun serveWaiting(ctx: ChannelHandlerContext) {
        if (serving) return
        serving = true
        while (!busy && !closing) serve(ctx, waiting.removeFirstOrNull() ?: break)
        serving = false
        if (waiting.size <= MAX_PIPELINED) ctx.channel().config().isAutoRead = true
    }

    private fun serve(ctx: ChannelHandlerContext, message: Any) {
        busy = true
        deadline?.cancel(false)
        val problem = problemOf(message)
        if (problem != null || message !is FullHttpRequest) {
            ReferenceCountUtil.release(message)
            val error = problem ?: badRequest("malformed_http", "not an HTTP request")
            return respond(ctx, error.toResult(), keepAlive = false, unread = true)
        }
        val keepAlive = HttpUtil.isKeepAlive(message)
        val head = message.method().name() == "HEAD"
        val request = Received(message)
        message.release()
        // Undispatched: a call that does not suspend is answered in the same event loop iteration.
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            val result = answer(request)
            bodyBytes.release(request.body.size)
            respond(ctx, result, keepAlive, head)
        }
    }

    private fun problemOf(message: Any): HttpError? = when (message) {
        is FullHttpRequest -> decodeProblem(message)
        OverBudgetRequest -> unavailable("too_many_bytes", "this host holds too many bodies")
        else -> HttpError(
            413,
            "body_too_large",
            "the body is longer than ${settings.maxBodyBytes} bytes"
        )
    }

    private suspend fun answer(request: Received): HttpResult {
        val startedNanos = System.nanoTime()
        val route = AtomicReference<Route?>()
        val result = handle(request, route::set)
        server.metrics.record(route.get(), result.status, System.nanoTime() - startedNanos)
        return result
    }

    private suspend fun handle(request: Received, onRoute: (Route) -> Unit): HttpResult = try {
        val match = server.router.find(request.method, request.path)
        onRoute(match.route)
        val principal = server.authenticator.authenticate(match.route.access, request.headers)
        val call = HttpCall(
            principal,
            match.path,
            request.query(),
            request.headers,
            request.body,
            request.method,
            request.path
        )
        match.route.handle(call)
    } catch (e: HttpError) {
        e.toResult()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        failed(request, e)
    } catch (e: StackOverflowError) {
        // Without an answer the connection would stay busy for good.
        failed(request, e)
    }

    private fun failed(request: Received, cause: Throwable): HttpResult {
        log.error("call {} {} failed", request.method, request.path, cause)
        return HttpError(500, "internal", "the call failed on this host", Ran.UNKNOWN).toResult()
    }

    private fun respond(
        ctx: ChannelHandlerContext,
        result: HttpResult,
        keepAlive: Boolean,
        head: Boolean = false,
        unread: Boolean = false
    ) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(result.status),
            if (head) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(result.body)
        )
        val headers = response.headers()
        result.headers.forEach { (name, value) -> headers[name] = value }
        headers[HttpHeaderNames.CONTENT_TYPE] = result.contentType
        headers[HttpHeaderNames.CONTENT_LENGTH] = result.body.size
        if (keepAlive && !server.draining) {
            ctx.writeAndFlush(response)
            busy = false
            closeAfter(ctx, settings.idleTimeoutMs)
            serveWaiting(ctx)
        } else {
            closing = true
            headers[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
            val written = ctx.writeAndFlush(response)
            if (unread) linger(ctx, written) else written.addListener(ChannelFutureListener.CLOSE)
        }
    }

    /**
     * Keeps reading for [LINGER_MS] before closing. Closing a socket with unread bytes resets the
     * connection, and the client may lose the response.
     */
    private fun linger(ctx: ChannelHandlerContext, written: ChannelFuture) {
        written.addListener {
            (ctx.channel() as? DuplexChannel)?.shutdownOutput()
            closeAfter(ctx, LINGER_MS)
        }
    }

    /** Closes the connection unless a call is in progress. Thread-safe. */
    fun closeWhenIdle(channel: Channel) {
        channel.eventLoop().execute {
            if (!busy && waiting.isEmpty()) channel.close()
        }
    }

    private fun closeAfter(ctx: ChannelHandlerContext, timeoutMs: Long) {
        deadline?.cancel(false)
        deadline = ctx.executor().schedule({ ctx.close() }, timeoutMs, TimeUnit.MILLISECONDS)
    }
}

/** A request copied out of Netty's buffers. */
private class Received(request: FullHttpRequest) {
    private val uri = QueryStringDecoder(request.uri())
    val method: String = request.method().name()
    val path: String = uri.rawPath()
    val headers = request.headers()
    val body: ByteArray = ByteBufUtil.getBytes(request.content())

    fun query(): Map<String, List<String>> = try {
        uri.parameters()
    } catch (_: IllegalArgumentException) {
        throw badRequest("malformed_query", "the query has a broken percent escape")
    }
}

private fun decodeProblem(request: FullHttpRequest): HttpError? {
    val cause = request.decoderResult().cause() ?: return null
    return when (cause) {
        is TooLongHttpHeaderException ->
            HttpError(431, "headers_too_large", "the headers are too long")
        is TooLongHttpLineException -> HttpError(414, "uri_too_long", "the path is too long")
        else -> badRequest("malformed_http", "this is not an HTTP/1.1 request")
    }
}
