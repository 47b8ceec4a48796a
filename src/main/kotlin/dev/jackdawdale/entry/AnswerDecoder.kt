package dev.jackdawdale.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.util.ReferenceCountUtil

/**
 * Decodes the answers of one connection and closes it when bytes arrive that no request asked for.
 * Such bytes, also an incomplete head, would be taken for the start of the next answer.
 */
internal class AnswerDecoder(config: HttpDecoderConfig) : HttpResponseDecoder(config) {
    /** Whether a request was written whose answer is not complete. */
    var expecting = false

    /** Whether bytes remain after the messages decoded so far. */
    val hasSurplus: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (expecting) return super.channelRead(ctx, message)
        ReferenceCountUtil.release(message)
        ctx.close()
    }
}
