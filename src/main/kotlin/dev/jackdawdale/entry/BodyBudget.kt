package dev.jackdawdale.entry

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.atomic.AtomicLong

/** Passed on instead of a request whose body does not fit into this process's memory now. */
internal object OverBudgetRequest

/** Bounds the sum of the request bodies that a server holds. */
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
 * Counts the body bytes of one connection before they are collected. Without it, each of thousands
 * of connections could hold a body of the greatest length.
 */
internal class BodyAccount(private val budget: BodyBudget) : ChannelInboundHandlerAdapter() {
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

    /** The call with a body of [bytes] is answered. */
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
