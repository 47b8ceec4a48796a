package dev.jackdawdale.entry

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.wire.ControlMessage
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.atomic.AtomicBoolean

/**
 * One attempt: a request to an endpoint and its result, which is reported once.
 *
 * @property receivedNanos monotonic time at which the dispatch was received
 */
internal class Exchange(
    val message: ControlMessage.Dispatch,
    private val receivedNanos: Long,
    private val onResult: (AttemptResult) -> Unit
) {
    private val ended = AtomicBoolean()

    /** True once a byte of the request may have been written. */
    @Volatile
    var written = false

    val isEnded: Boolean get() = ended.get()

    /** Whether the first byte may still be written. */
    fun mayStart(nowNanos: Long): Boolean {
        val allowedMs = minOf(message.validForMs, message.deadlineInMs)
        return nowNanos - receivedNanos < allowedMs * 1_000_000
    }

    fun remainingMs(nowNanos: Long): Long =
        message.deadlineInMs - (nowNanos - receivedNanos) / 1_000_000

    fun answered(answer: Answer) = end(AttemptResult.Answered(answer))

    /** Ends the attempt without a complete response; [written] decides how. */
    fun failed(reason: String) =
        end(if (written) AttemptResult.Broken(reason) else AttemptResult.NotSent(reason))

    private fun end(result: AttemptResult) {
        if (ended.compareAndSet(false, true)) onResult(result)
    }

    fun request(nowNanos: Long): FullHttpRequest {
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            message.path,
            Unpooled.wrappedBuffer(message.body.bytes)
        )
        request.headers()
            .set(HttpHeaderNames.HOST, "${message.address}:${message.port}")
            .set(HttpHeaderNames.CONTENT_TYPE, message.contentType)
            .set(HttpHeaderNames.CONTENT_LENGTH, message.body.sizeBytes)
            .set("Jackdawdale-Work-Id", message.workId.value)
            .set("Jackdawdale-Token", message.token.value)
            .set("Jackdawdale-Deadline-Ms", remainingMs(nowNanos))
            .set("Jackdawdale-Kind", message.kind)
        return request
    }
}
