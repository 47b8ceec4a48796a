package dev.jackdawdale.bench

import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.FencingToken
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.ControlSession
import dev.jackdawdale.wire.EntryMessage
import dev.jackdawdale.wire.PeerAddress
import dev.jackdawdale.wire.PeerCallbacks
import dev.jackdawdale.wire.PeerNetwork
import dev.jackdawdale.wire.PeerSettings
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply
import dev.jackdawdale.wire.SESSION_HEARTBEAT_MS
import dev.jackdawdale.wire.WorkStage
import dev.jackdawdale.wire.WorkStatus
import dev.jackdawdale.wire.peerNetwork
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.serialization.builtins.serializer

private const val VALID_FOR_MS = 2_000L

/**
 * A leader without a log, on the real transport: accepts every request and dispatches it to one
 * endpoint, so that measurements of the entry path contain no other cost. Tests replace its
 * decisions.
 */
internal class LoopbackLeader(
    settings: PeerSettings,
    @Volatile var term: Long = 1,
    private val endpointPort: () -> Int = { 0 }
) : AutoCloseable {
    private val network: PeerNetwork<String> = peerNetwork(
        settings,
        String.serializer(),
        PeerCallbacks({ _, _ -> }, ::receive, { sessions.remove(it) })
    )
    private val timer = Executors.newSingleThreadScheduledExecutor { task ->
        Thread(task, "loopback-leader").apply { isDaemon = true }
    }
    private val nextToken = AtomicLong(1)
    private val known = ConcurrentHashMap.newKeySet<WorkId>()
    private val ended = ConcurrentHashMap<WorkId, ControlMessage.RequestEnded>()

    val sessions = CopyOnWriteArrayList<ControlSession>()
    val sessionOpens = CopyOnWriteArrayList<EntryMessage.SessionOpen>()
    val commands = CopyOnWriteArrayList<Command>()
    val finished = CopyOnWriteArrayList<EntryMessage.AttemptFinished>()
    val findLeaderCalls = AtomicInteger()
    val port: Int get() = network.port

    @Volatile
    var contracts: List<Contract> = emptyList()

    /** Whether calls are recorded for inspection; off in measurements, to save memory. */
    @Volatile
    var recordsCalls = true

    @Volatile
    var sendsConfiguration = true

    @Volatile
    var acknowledges = true

    @Volatile
    var onOpen: (EntryMessage.SessionOpen) -> ControlMessage =
        { ControlMessage.SessionAccepted(term) }

    @Volatile
    var onFindLeader: () -> ControlMessage = { ControlMessage.Leads(term) }

    /** The reply to a command, or null for none. */
    @Volatile
    var onCommand: (ControlSession, Command) -> Reply? = ::acceptAndDispatch

    @Volatile
    var onQuery: (Query) -> Reply? = { null }

    fun start() {
        network.start()
        timer.scheduleAtFixedRate(
            ::sendConfiguration,
            0,
            SESSION_HEARTBEAT_MS,
            TimeUnit.MILLISECONDS
        )
    }

    /** Sends the configuration to all sessions, as a leader does with each heartbeat. */
    fun sendConfiguration() {
        if (sendsConfiguration) sessions.forEach { it.send(configuration()) }
    }

    fun configuration(atTerm: Long = term): ControlMessage.Configuration =
        ControlMessage.Configuration(atTerm, commitIndex = 1, contracts, VALID_FOR_MS)

    fun dispatchOf(submit: Command.SubmitRequest): ControlMessage.Dispatch =
        ControlMessage.Dispatch(
            term = term,
            workId = submit.workId,
            token = FencingToken(nextToken.getAndIncrement()),
            endpointId = EndpointId("e1"),
            address = "127.0.0.1",
            port = endpointPort(),
            path = "/v1/run",
            kind = submit.kind,
            contentType = submit.contentType,
            body = submit.body,
            validForMs = VALID_FOR_MS,
            deadlineInMs = submit.deadlineInMs
        )

    override fun close() {
        timer.shutdownNow()
        network.close()
    }

    private fun receive(session: ControlSession, message: EntryMessage) {
        when (message) {
            is EntryMessage.SessionOpen -> open(session, message)
            is EntryMessage.FindLeader -> {
                findLeaderCalls.incrementAndGet()
                session.send(onFindLeader())
            }
            is EntryMessage.AdviceAnswered -> Unit
            is EntryMessage.SessionHeartbeat -> Unit
            is EntryMessage.CommandCall -> {
                if (recordsCalls) commands += message.command
                onCommand(session, message.command)
                    ?.let { session.send(ControlMessage.ReplyTo(message.callId, it)) }
            }
            is EntryMessage.QueryCall ->
                onQuery(message.query)
                    ?.let { session.send(ControlMessage.ReplyTo(message.callId, it)) }
            is EntryMessage.AttemptFinished -> finish(session, message)
        }
    }

    private fun open(session: ControlSession, message: EntryMessage.SessionOpen) {
        sessionOpens += message
        val answer = onOpen(message)
        session.send(answer)
        if (answer !is ControlMessage.SessionAccepted) return
        sessions += session
        if (sendsConfiguration) session.send(configuration())
    }

    private fun finish(session: ControlSession, message: EntryMessage.AttemptFinished) {
        if (recordsCalls) finished += message
        if (!acknowledges) return
        session.send(ControlMessage.AttemptAcknowledged(message.workId, message.token))
        val end = when (val result = message.result) {
            is AttemptResult.Answered ->
                ControlMessage.RequestEnded(message.workId, Outcome.Succeeded, result.answer, 1)
            is AttemptResult.NotSent ->
                ControlMessage.RequestEnded(message.workId, Outcome.NotRun(result.reason), null, 0)
            is AttemptResult.Broken -> ControlMessage.RequestEnded(
                message.workId,
                Outcome.MayHaveRun(result.reason),
                null,
                1
            )
        }
        if (recordsCalls) ended[message.workId] = end
        session.send(end)
    }

    /** Accepts and dispatches any request; with [recordsCalls], a resend is not dispatched. */
    fun acceptAndDispatch(session: ControlSession, command: Command): Reply {
        if (command !is Command.SubmitRequest) return Reply.Done
        val isNew = !recordsCalls || known.add(command.workId)
        if (isNew) session.send(dispatchOf(command))
        return Reply.Work(statusOf(command.workId, ended[command.workId]))
    }

    fun statusOf(workId: WorkId, end: ControlMessage.RequestEnded? = null): WorkStatus = WorkStatus(
        workId = workId,
        stage = if (end == null) WorkStage.ACCEPTED else WorkStage.ENDED,
        contractVersion = 1,
        acceptedAtMs = 1,
        outcome = end?.outcome,
        answer = end?.answer,
        attempts = end?.attempts ?: 0,
        asOfMs = 1
    )
}

/** Settings of a loopback host for measurements and tests. */
internal fun loopbackPeer(
    name: String,
    controlPort: Int? = null,
    incarnation: Long = 1
): PeerSettings = PeerSettings(
    hostId = HostId(name),
    incarnation = incarnation,
    clusterKey = "loopback cluster key".encodeToByteArray(),
    controlHosts = controlPort
        ?.let { mapOf(HostId("c1") to PeerAddress("127.0.0.1", it)) }
        .orEmpty()
)
