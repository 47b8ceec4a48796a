package dev.jackdawdale.wire

import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import io.ktor.network.selector.SelectorManager
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.wire")
private const val LEADERSHIP_LOST_RETRY_MS = 100L

/** Poll interval: a replica that learns of a leader does not notify those who asked before. */
private const val FIND_LEADER_INTERVAL_MS = 250L

/** Silence checks per session timeout. */
private const val CHECKS_PER_TIMEOUT = 4

/** Default time that a call waits for its reply, in milliseconds. */
internal const val CALL_TIMEOUT_MS = 10_000L

/**
 * The callbacks of a [ControlClient]. They are called on transport threads, one at a time and in
 * order, and must not block.
 *
 * @property heldAttempts returns attempts in flight and finished ones that were not acknowledged;
 * called before each session, when no message of an earlier session can arrive any more
 * @property onOpened called when the session is open, to resend finished attempts
 */
internal class ControlClientCallbacks(
    val heldAttempts: () -> List<HeldAttempt>,
    val onOpened: (term: Long) -> Unit,
    val onLost: () -> Unit,
    val onMessage: (ControlMessage) -> Unit
)

/** Finds the leader, keeps a session with it and makes calls on the session. */
internal class ControlClient(
    peerSettings: PeerSettings,
    private val callbacks: ControlClientCallbacks
) : AutoCloseable {
    private val settings = peerSettings.copy(silenceTimeoutMs = peerSettings.sessionTimeoutMs)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val calls = PendingCalls()
    private val known =
        KnownHosts(settings.controlHosts.keys.toList()) { settings.addressOf(it) != null }
    private val election =
        SessionElection<EntrySession> { candidate, reason -> candidate.link.close(reason) }
    private val searches = ConcurrentHashMap<HostId, Job>()
    private val seenTerm = AtomicLong()
    private val sessionsOpened = AtomicLong()

    @Volatile
    private var session: EntrySession? = null

    @Volatile
    private var draining = false

    /** The highest term received from any leader; dispatches of lower terms are refused. */
    val highestTerm: Long get() = seenTerm.get()

    /** Number of sessions that a leader has accepted so far. */
    val sessionCount: Long get() = sessionsOpened.get()

    /** Whether there is a session that the leader has accepted. */
    val isOpen: Boolean get() = session != null

    fun start() {
        known.hosts.forEach(::search)
    }

    /** Tells the leader, now and with each heartbeat, that this host takes no new dispatches. */
    fun announceDraining() {
        draining = true
        session?.link?.send(EntryMessage.SessionHeartbeat(draining = true))
    }

    /**
     * Runs [command] at the leader. With [resend] it is sent again on each new session, which is
     * safe because every command carries an id; otherwise a lost session ends the call.
     *
     * Without a reply within [timeoutMs] the result is [Reply.LeadershipLost] (the effect is
     * unknown: call again), or [Reply.Refused] if the command was never sent.
     */
    suspend fun call(
        command: Command,
        timeoutMs: Long = CALL_TIMEOUT_MS,
        resend: Boolean = true
    ): Reply = await(calls.add(command, null, resend), timeoutMs)

    /** Sends [query] to the leader; errors are those of [call]. */
    suspend fun query(query: Query, timeoutMs: Long = CALL_TIMEOUT_MS): Reply =
        await(calls.add(null, query, resend = true), timeoutMs)

    /** Queues a message outside of calls; false when there is no session. */
    fun send(message: EntryMessage): Boolean = session?.link?.send(message) ?: false

    /** Adds control hosts to the search for the leader. */
    fun addControlHosts(hosts: List<HostId>) {
        known.learn(hosts)
        if (!isOpen) known.hosts.forEach(::search)
    }

    override fun close() {
        session?.link?.close("the host is stopping")
        scope.cancel()
        selector.close()
        calls.inOrder().forEach { it.endUnanswered() }
    }

    private suspend fun await(call: PendingCall, timeoutMs: Long): Reply {
        try {
            // The session is read after the call is registered: either it is sent here, or by a
            // session that opens in between.
            session?.let { transmit(call, it) }
            val reply = withTimeoutOrNull(timeoutMs) { call.reply.await() }
            if (reply == null) call.endUnanswered()
            return call.reply.await()
        } finally {
            calls.remove(call)
            session?.forget(call.callId)
        }
    }

    private fun transmit(call: PendingCall, to: EntrySession) {
        if (to.markSent(call.callId) && call.beginSend()) to.link.send(call.message())
    }

    /** Starts asking [hostId] whether it leads, unless that is already in progress. */
    private fun search(hostId: HostId) {
        searches.computeIfAbsent(hostId) {
            scope.launch {
                try {
                    dialUntilOpen(hostId)
                } finally {
                    searches.remove(hostId)
                    // The session may have ended after the last check.
                    if (!isOpen && scope.isActive) search(hostId)
                }
            }
        }
    }

    private suspend fun dialUntilOpen(hostId: HostId) {
        val backOff = BackOff(settings.reconnectMinMs, settings.reconnectMaxMs)
        while (!isOpen) {
            val link = connect(hostId)
            if (link != null && !isOpen) runLink(EntrySession(link)) else link?.close("not needed")
            if (!isOpen) delay(backOff.nextMs())
        }
    }

    private suspend fun connect(hostId: HostId): FrameLink<ControlMessage, EntryMessage>? {
        val address = settings.addressOf(hostId) ?: return null
        val types = LinkTypes(
            ControlMessage.serializer(),
            EntryMessage.serializer(),
            EntryMessage::weightBytes
        )
        return try {
            dial(selector, settings, Role.ENTRY, hostId, address, types)
        } catch (e: HandshakeFailed) {
            log.warn("control host {}: {}", hostId, e.message)
            null
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            log.debug("cannot connect to control host {}: {}", hostId, e.message)
            null
        }
    }

    /** Uses the connection until it ends: first to find the leader, then as the session. */
    private suspend fun runLink(candidate: EntrySession) {
        election.connected(candidate)
        val polling = scope.launch { pollForLeader(candidate) }
        try {
            val reason = candidate.link.run { receive(candidate, it) }
            if (candidate.opened) {
                log.info("session with {} ended: {}", candidate.link.peer.hostId, reason)
            }
        } finally {
            candidate.link.close("the session ended")
            polling.cancel()
            onConnectionEnded(candidate)
        }
    }

    private fun onConnectionEnded(candidate: EntrySession) {
        val wasSession = session === candidate
        if (wasSession) session = null
        val next = election.ended(candidate)
        if (wasSession) onSessionLost()
        next?.let(::open)
        if (wasSession) known.hosts.forEach(::search)
    }

    /** Opens the session; until it is accepted, another host may claim a greater term. */
    private fun open(leading: EntrySession) {
        leading.opened = true
        leading.recordActivity()
        leading.link.send(
            EntryMessage.SessionOpen(
                hostId = settings.hostId,
                incarnation = settings.incarnation,
                failureDomain = settings.failureDomain,
                highestTerm = highestTerm,
                held = callbacks.heldAttempts(),
                draining = draining
            )
        )
        scope.launch { keepAlive(leading) }
    }

    private suspend fun pollForLeader(candidate: EntrySession) {
        while (!candidate.opened && candidate.link.send(EntryMessage.FindLeader)) {
            delay(FIND_LEADER_INTERVAL_MS)
            if (isOpen && !candidate.opened) candidate.link.close("the leader was found elsewhere")
        }
    }

    private suspend fun keepAlive(current: EntrySession) {
        while (current.link.closedBecause == null) {
            delay(minOf(SESSION_HEARTBEAT_MS, settings.silenceTimeoutMs / CHECKS_PER_TIMEOUT))
            current.link.send(EntryMessage.SessionHeartbeat(draining))
            if (current.silentMs() > settings.silenceTimeoutMs) {
                current.link.close("no message from the control thread")
            }
        }
    }

    private fun onSessionLost() {
        callbacks.onLost()
        calls.inOrder().filter { it.sent && !it.resend }.forEach { it.endUnanswered() }
    }

    private fun receive(from: EntrySession, message: ControlMessage) {
        from.recordActivity()
        when (message) {
            is ControlMessage.Leads -> election.claimed(from, message.term)?.let(::open)
            is ControlMessage.NotLeader -> onNotLeader(from, message.leader)
            is ControlMessage.SessionAccepted -> onSessionAccepted(from, message)
            // A leader may dispatch before its acceptance is durable.
            else -> if (election.isChosen(from)) onSessionMessage(message)
        }
    }

    private fun onSessionMessage(message: ControlMessage) {
        when (message) {
            is ControlMessage.ReplyTo -> onReply(message)
            is ControlMessage.Configuration -> {
                recordTerm(message.term)
                callbacks.onMessage(message)
            }
            else -> callbacks.onMessage(message)
        }
    }

    private fun onSessionAccepted(current: EntrySession, message: ControlMessage.SessionAccepted) {
        known.learn(message.controlHosts)
        val term = message.term
        if (term < highestTerm) return current.link.close("leader of the old term $term")
        val others = election.accepted(current)
            ?: return current.link.close("another control host leads")
        recordTerm(term)
        sessionsOpened.incrementAndGet()
        session = current
        others.forEach { it.link.close("the leader was found elsewhere") }
        callbacks.onOpened(term)
        calls.inOrder().forEach { transmit(it, current) }
    }

    private fun recordTerm(term: Long) {
        seenTerm.updateAndGet { maxOf(it, term) }
    }

    private fun onNotLeader(from: EntrySession, leader: HostId?) {
        if (leader != null && known.addLeader(leader)) search(leader)
        if (from.opened) from.link.close("the control host does not lead")
    }

    private fun onReply(message: ControlMessage.ReplyTo) {
        val call = calls[message.callId] ?: return
        if (message.reply != Reply.LeadershipLost || !call.resend) {
            return call.complete(message.reply)
        }
        scope.launch {
            delay(LEADERSHIP_LOST_RETRY_MS)
            val current = session ?: return@launch
            current.forget(call.callId)
            transmit(call, current)
        }
    }
}

/** Creates a client of the leader; nothing runs before [ControlClient.start]. */
internal fun controlClient(
    settings: PeerSettings,
    callbacks: ControlClientCallbacks
): ControlClient = ControlClient(settings, callbacks)
