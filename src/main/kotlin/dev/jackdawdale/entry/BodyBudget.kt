package dev.jackdawdale.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.atomic.AtomicLong

/** Replaces a request whose body exceeds the [BodyBudget]. */
internal object OverBudgetRequest

/** Limits the total size of the request bodies that a server holds. */
internal class BodyBudget(private val maxBytes: Long) {
    private val heldBytes = AtomicLong()

    fun reserve(bytes: Int): Boolean {
        if (heldBytes.addAndGet(bytes.toLong()) <= maxBytes) return true
        heldBytes.addAndGet(-bytes.toLong())
        return false
    }

    fun release(bytes: Int) {
        heldBytes.addAndGet(-bytes.toLong())
    }
}

/**
 * Counts the body bytes of one connection before they are collected. The limit on a single body
 * alone would let thousands of connections hold a body of maximum size each.
 */
internal class BodyByteCounter(private val budget: BodyBudget) : ChannelInboundHandlerAdapter() {
    private var heldBytes = 0
    private var refused = false

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (refused) {
            ReferenceCountUtil.release(message)
            return
        }
        val bytes = (message as? HttpContent)?.content()?.readableBytes() ?: 0
        if (bytes > 0 && !budget.reserve(bytes)) {
            refused = true
            ReferenceCountUtil.release(message)
            ctx.fireChannelRead(OverBudgetRequest)
            return
        }
        heldBytes += bytes
        ctx.fireChannelRead(message)
    }

    /** Returns [bytes] to the budget after a call was answered. */
    fun release(bytes: Int) {
        val released = bytes.coerceAtMost(heldBytes)
        heldBytes -= released
        budget.release(released)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        release(heldBytes)
        ctx.fireChannelInactive()
    }
}
