package dev.jackdawdale.entry

import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.timeline.EventKind
import dev.jackdawdale.wire.ControlClient
import dev.jackdawdale.wire.ControlClientCallbacks
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.PeerSettings
import dev.jackdawdale.wire.controlClient
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private const val DRAIN_POLL_MS = 20L
private const val BODIES_PER_FRAME = 2

/**
 * The entry role: serves HTTP calls through the leader and sends requests to endpoints.
 *
 * An [HttpServer] serves its [routes] together with those of the process.
 */
internal class EntryHost(
    internal val settings: EntrySettings,
    peer: PeerSettings,
    registry: MeterRegistry,
    private val recordEvent: EventRecorder
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Longest body sent to the leader: one record holds the bodies of a request and its answer. */
    private val maxSentBytes = peer.maxFrameBytes / BODIES_PER_FRAME
    internal val contracts = ContractCache()
    internal val waiters = Waiters(settings.maxWaitingBytes)
    internal val client: ControlClient = controlClient(
        peer,
        ControlClientCallbacks(
            heldAttempts = { dispatcher.held() },
            onOpened = ::sessionOpened,
            onLost = { recordEvent(EventKind.SESSION_LOST, "session", "") },
            onMessage = ::receive
        )
    )
    private val dispatcher: Dispatcher = Dispatcher(
        settings,
        registry,
        highestTerm = { client.highestTerm },
        report = { client.send(it) },
        recordEvent = recordEvent
    )

    @Volatile
    private var draining = false

    @Volatile
    private var refusesNewWork = false

    /** The calls of the entry role. */
    val routes: List<Route> =
        requestRoutes(this) + workRoutes(this) + memberRoutes(this) + operatorRoutes(this)

    init {
        require(settings.maxAnswerBytes <= maxSentBytes) {
            "maxAnswerBytes ${settings.maxAnswerBytes} is over $maxSentBytes, half a frame"
        }
        registry.gauge("jackdawdale.entry.waiting.callers", waiters) { it.count.toDouble() }
    }

    fun start() = client.start()

    /** The token hashes that an [HttpServer] checks a customer's token against. */
    fun customerTokens(customerId: CustomerId): CustomerTokens =
        contracts.tokens(customerId, System.nanoTime())

    /** The reason why the host is not ready for new work, or null when it is. */
    fun notReadyReason(): String? = when {
        draining -> "draining"
        !client.isOpen -> "no session with the leader"
        !contracts.isFresh(System.nanoTime()) -> "the configuration is stale"
        else -> null
    }

    /** Attempts in flight, and finished ones that the leader has not acknowledged. */
    internal fun heldAttempts(): List<HeldAttempt> = dispatcher.held()

    internal val isDispatcherIdle: Boolean get() = dispatcher.isIdle

    /** Throws [HttpError] if the body of [call] is too long or the host accepts no new work. */
    internal fun requireNewWorkAllowed(call: HttpCall) {
        if (call.body.size >= maxSentBytes) {
            throw HttpError(413, "body_too_large", "the body is longer than $maxSentBytes bytes")
        }
        if (refusesNewWork) throw unavailable("draining", "this host is stopping")
        if (!contracts.isFresh(System.nanoTime())) {
            throw unavailable(
                "configuration_stale",
                "this host has not heard from the leader lately"
            )
        }
    }

    /** Sets readiness to false at once and refuses new work after the grace period. */
    fun beginDrain() {
        if (draining) return
        draining = true
        recordEvent(EventKind.HOST_STOPPING, "drain", "readiness is false")
        client.announceDraining()
        scope.launch {
            delay(settings.drainGraceMs)
            refusesNewWork = true
        }
    }

    /** Waits until no caller waits and no attempt is held; false on timeout. */
    suspend fun awaitDrained(): Boolean {
        beginDrain()
        val deadlineNanos = System.nanoTime() + settings.drainTimeoutMs * 1_000_000
        while (System.nanoTime() < deadlineNanos) {
            if (refusesNewWork && waiters.count == 0 && dispatcher.isIdle) return true
            delay(DRAIN_POLL_MS)
        }
        return false
    }

    override fun close() {
        scope.cancel()
        client.close()
        dispatcher.close()
    }

    private fun sessionOpened(term: Long) {
        recordEvent(EventKind.SESSION_OPENED, "session", "term $term")
        dispatcher.resendFinished()
        waiters.accepted().forEach(::resubmitInBackground)
    }

    /** Resubmits the request of [waiter], so that the current leader reports its outcome. */
    internal fun resubmitInBackground(waiter: Waiter) {
        scope.launch { resubmit(waiter) }
    }

    private fun receive(message: ControlMessage) {
        when (message) {
            is ControlMessage.Dispatch -> dispatcher.dispatch(message, System.nanoTime())
            is ControlMessage.AttemptAcknowledged -> dispatcher.acknowledged(message.token)
            is ControlMessage.RequestEnded -> waiters.end(message)
            is ControlMessage.Configuration -> contracts.update(message, System.nanoTime())
            else -> recordEvent(
                EventKind.ERROR,
                "session",
                "ignored ${message::class.simpleName}"
            )
        }
    }
}

/**
 * Creates the entry role of a process; nothing runs before [EntryHost.start].
 *
 * @param recordEvent records an event on this process's timeline
 */
internal fun entryHost(
    settings: EntrySettings,
    peer: PeerSettings,
    registry: MeterRegistry,
    recordEvent: EventRecorder = { _, _, _ -> }
): EntryHost = EntryHost(settings, peer, registry, recordEvent)
