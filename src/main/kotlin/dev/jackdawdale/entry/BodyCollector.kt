package dev.jackdawdale.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponse

private const val FIRST_ERROR_STATUS = 400

/** Passed on instead of a request whose body is too large. */
internal object OversizedRequest

/** Collects a request with its body; a body over the bound is told to the next handler. */
internal class BodyCollector(maxBodyBytes: Int) : HttpObjectAggregator(maxBodyBytes) {
    override fun handleOversizedMessage(ctx: ChannelHandlerContext, oversized: HttpMessage) {
        ctx.fireChannelRead(OversizedRequest)
    }

    // Netty would answer "Expect: 100-continue" before a large body with a 413 without JSON.
    override fun newContinueResponse(
        start: HttpMessage,
        maxContentLength: Int,
        pipeline: ChannelPipeline
    ): Any? {
        val response = super.newContinueResponse(start, maxContentLength, pipeline)
        val refuses = response is HttpResponse && response.status().code() >= FIRST_ERROR_STATUS
        return if (refuses) null else response
    }
}
