package dev.jackdawdale.entry

import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.timeline.EventKind
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.EntryMessage
import io.micrometer.core.instrument.MeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit

private const val CLOSE_TIMEOUT_MS = 2_000L

/**
 * Sends the requests that the leader dispatches to endpoints and reports the results.
 *
 * @property report queues a result for the leader; [resendFinished] repeats results until they are
 * acknowledged
 */
internal class Dispatcher(
    private val settings: EntrySettings,
    registry: MeterRegistry,
    private val highestTerm: () -> Long,
    private val report: (EntryMessage.AttemptFinished) -> Unit,
    private val recordEvent: EventRecorder
) : AutoCloseable {
    private val group =
        MultiThreadIoEventLoopGroup(settings.dispatchThreads, NioIoHandler.newFactory())
    private val pools = EndpointPools(settings, group)
    private val attempts = AttemptTable(settings.recentTokens)
    private val results = listOf("answered", "not_sent", "broken").associateWith {
        registry.counter("jackdawdale.dispatch.attempts", "result", it)
    }
    private val refusedTerms = registry.counter("jackdawdale.dispatch.refused.terms")
    private val duplicates = registry.counter("jackdawdale.dispatch.duplicates")

    val inFlight: Int get() = attempts.inFlight

    /** True when no attempt is in flight and every result is acknowledged. */
    val isIdle: Boolean get() = attempts.isEmpty

    init {
        registry.gauge("jackdawdale.dispatch.in.flight", this) { it.inFlight.toDouble() }
    }

    /** Starts the attempt, unless its term is outdated or its token is a duplicate. */
    fun dispatch(message: ControlMessage.Dispatch, nowNanos: Long) {
        if (message.term < highestTerm()) {
            refusedTerms.increment()
            recordEvent(
                EventKind.DISPATCH_EXPIRED,
                message.workId.value,
                "token ${message.token} of old term ${message.term}"
            )
            return
        }
        if (!attempts.begin(message.workId, message.token, nowNanos)) {
            duplicates.increment()
            return
        }
        recordEvent(
            EventKind.DISPATCH_SENT,
            message.workId.value,
            "token ${message.token} to ${message.endpointId}"
        )
        val exchange = Exchange(message, nowNanos) { finished(message, it) }
        pools.send(exchange)
    }

    fun acknowledged(token: FencingToken) = attempts.acknowledge(token)

    fun held(): List<HeldAttempt> = attempts.held()

    fun resendFinished() = attempts.unacknowledged().forEach(report)

    override fun close() {
        pools.close()
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .awaitUninterruptibly(2 * CLOSE_TIMEOUT_MS)
    }

    private fun finished(message: ControlMessage.Dispatch, result: AttemptResult) {
        val finished = attempts.finish(message.token, result, System.nanoTime()) ?: return
        results.getValue(result.label).increment()
        recordEvent(
            EventKind.ATTEMPT_FINISHED,
            message.workId.value,
            "token ${message.token} ${result.label}"
        )
        report(finished)
    }
}

private val AttemptResult.label: String
    get() = when (this) {
        is AttemptResult.Answered -> "answered"
        is AttemptResult.NotSent -> "not_sent"
        is AttemptResult.Broken -> "broken"
    }
