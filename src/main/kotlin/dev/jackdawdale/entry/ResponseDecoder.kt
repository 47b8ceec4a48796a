package dev.jackdawdale.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/**
 * Decodes the responses on one connection and closes it when bytes arrive outside a response.
 * Otherwise such bytes, even an incomplete head, would be parsed as part of the next response.
 */
internal class ResponseDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    /** Whether a request was written whose response is still incomplete. */
    var awaitingResponse = false

    /** Whether bytes remain after the messages decoded so far. */
    val hasTrailingBytes: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (awaitingResponse) return super.channelRead(ctx, message)
        ReferenceCountUtil.release(message)
        ctx.close()
    }
}
