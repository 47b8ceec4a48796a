package dev.jackdawdale.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponse

private const val FIRST_ERROR_STATUS = 400

/** Replaces a request whose body exceeds the size limit. */
internal object OversizedRequest

/** Aggregates a request and its body; passes [OversizedRequest] on when the body is too large. */
internal class BodyCollector(maxBodyBytes: Int) : HttpObjectAggregator(maxBodyBytes) {
    override fun handleOversizedMessage(ctx: ChannelHandlerContext, oversized: HttpMessage) {
        ctx.fireChannelRead(OversizedRequest)
    }

    // For "Expect: 100-continue" with an oversized body, Netty would send a 413 without JSON.
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
