package dev.jackdawdale.host

import dev.jackdawdale.control.ControlExtension
import dev.jackdawdale.control.ControlLoop
import dev.jackdawdale.control.ControlObserver
import dev.jackdawdale.control.ControlSettings
import dev.jackdawdale.control.LogStatus
import dev.jackdawdale.control.Pass
import dev.jackdawdale.control.ReplicatedLog
import dev.jackdawdale.control.SessionLink
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.HostId
import dev.jackdawdale.push.AdviceCall
import dev.jackdawdale.push.LeaderDependencies
import dev.jackdawdale.push.PushMeters
import dev.jackdawdale.push.PushSettings
import dev.jackdawdale.push.StagedControl
import dev.jackdawdale.push.WorkerClient
import dev.jackdawdale.raft.Departure
import dev.jackdawdale.raft.RaftMessage
import dev.jackdawdale.records.recordStore
import dev.jackdawdale.replica.ProposeResult
import dev.jackdawdale.replica.ReadResult
import dev.jackdawdale.replica.Replica
import dev.jackdawdale.replica.ReplicaCallbacks
import dev.jackdawdale.replica.ReplicaSettings
import dev.jackdawdale.replica.ReplicaStatus
import dev.jackdawdale.replica.ReplicaThreads
import dev.jackdawdale.replica.replica
import dev.jackdawdale.settings.Settings
import dev.jackdawdale.storage.StorageError
import dev.jackdawdale.storage.replicaFolder
import dev.jackdawdale.telemetry.PassDurations
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.ControlSession
import dev.jackdawdale.wire.PeerCallbacks
import dev.jackdawdale.wire.PeerNetwork
import dev.jackdawdale.wire.PeerSettings
import dev.jackdawdale.wire.ReplicaView
import dev.jackdawdale.wire.peerNetwork
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("dev.jackdawdale.host")
private const val RECORDS_FOLDER = "records"
private const val TICK_MS = 20L
private const val REACHABLE_WINDOW_MS = 2_000L
private const val TRANSFER_TIMEOUT_MS = 5_000L
private const val TRANSFER_POLL_MS = 50L
private const val LOAD_LOG_INTERVAL_MS = 5_000L

/**
 * The control role of a process. It has one control thread, on which the replica and the control
 * loop run, and one thread each for disk writes, for snapshots and for reading records.
 *
 * @param storageFailed called once when the content of the disk is no longer certain
 * @param workerClient how the leader calls workers; when null, staged jobs are not served
 * @param pushMeters metrics of staged jobs
 */
internal class ControlRole(
    settings: Settings,
    peer: PeerSettings,
    observer: ControlObserver,
    private val clock: () -> Long,
    private val storageFailed: (StorageError) -> Unit,
    replicaSettings: ReplicaSettings = settings.forReplica(),
    controlSettings: ControlSettings = settings.forControl(),
    pushSettings: PushSettings = PushSettings(),
    workerClient: WorkerClient? = null,
    pushMeters: PushMeters = PushMeters()
) : AutoCloseable {
    private val control: ScheduledExecutorService = singleThread("control")
    private val storageThread = singleThread("storage")
    private val background = singleThread("snapshots")
    private val recordReader = singleThread("records")
    private val passScheduled = AtomicBoolean()
    private val folder = replicaFolder(dataFolder(settings))
    private val records = recordStore(
        dataFolder(settings).resolve(RECORDS_FOLDER),
        storageThread,
        onFailed = storageFailed
    )
    private val links = HashMap<ControlSession, TransportLink>()
    private val load = ControlLoad(LOAD_LOG_INTERVAL_MS)

    private val network: PeerNetwork<RaftMessage> = peerNetwork(
        peer,
        RaftMessage.serializer(),
        PeerCallbacks(
            onPeerMessage = { from, message ->
                runOnControlThread { replica.receive(from, message, clock()) }
            },
            onSessionMessage = { session, message ->
                runOnControlThread { loop.received(linkOf(session), message) }
            },
            onSessionClosed = { session ->
                runOnControlThread { links.remove(session)?.let(loop::sessionClosed) }
            },
            onPeerDisconnected = { from ->
                runOnControlThread { replica.connectionEnded(from, clock()) }
            }
        )
    )

    private val passDurations = PassDurations()
    private val staged: StagedControl? = workerClient?.let {
        StagedControl(
            pushSettings,
            LeaderDependencies(
                calls = it,
                submit = { action -> runOnControlThread { loop.submit(action) } },
                quorumHeardMs = { logStatus().quorumHeardAtMs },
                clock = clock,
                adviceHosts = { loop.adviceHosts },
                askAdvice = ::askAdvice,
                passDurations = passDurations,
                meters = pushMeters
            )
        )
    }

    private val loop: ControlLoop = ControlLoop(
        hostId = settings.host.id,
        settings = controlSettings,
        log = ReplicatedLog(
            { replica.acceptsProposals },
            ::propose,
            ::confirmLeadership,
            ::logStatus
        ),
        records = recordAccess(records, recordReader, control),
        clock = clock,
        wakeUp = ::schedulePass,
        observer = observer.copy(
            passFinished = { nanos ->
                passDurations.add(nanos)
                load.passFinished(nanos)
                observer.passFinished(nanos)
            }
        ),
        extension = staged?.extension ?: ControlExtension()
    )

    private val replica: Replica = replica(
        replicaSettings,
        folder,
        ReplicaCallbacks(
            send = { to, message -> if (network.send(to, message)) load.sent(message) },
            apply = loop::applyCommitted,
            restore = { _, snapshot -> loop.restore(snapshot) },
            capture = loop::capture,
            becameLeader = loop::becameLeader,
            lostLeadership = loop::lostLeadership,
            quorumLost = observer.quorumLost,
            toleratedLosses = observer.toleratedLosses,
            storageFailed = storageFailed
        ),
        ReplicaThreads(control, storageThread, background),
        clock(),
        records
    )

    fun start() {
        network.start()
        runOnControlThread { replica.start(clock()) }
        control.scheduleWithFixedDelay(::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
    }

    /** The status of the replica, read on the control thread. */
    fun status(): CompletableFuture<ReplicaStatus> =
        CompletableFuture.supplyAsync({ replica.status(clock()) }, control)

    /**
     * Runs [action] in a pass of the control loop if this replica leads; otherwise passes the
     * leader's host, when known, to [notLeading]. Possibly calls neither if leadership is lost.
     */
    fun submitStaged(action: (StagedControl, Pass) -> Unit, notLeading: (HostId?) -> Unit) =
        runOnControlThread {
            val stagedControl = staged
            val accepted =
                stagedControl != null && loop.submit { pass -> action(stagedControl, pass) }
            if (!accepted) notLeading(replica.status(clock()).leader)
        }

    /** The committed state; read it only on the control thread. */
    val committed: CellState get() = loop.committed

    private fun askAdvice(call: AdviceCall): Boolean {
        val ids = call.asked.map { it.workerId }
        return loop.sendTo(call.hostId, ControlMessage.AskAdvice(call.callId, call.stepId, ids))
    }

    /** Transfers leadership; false when no other replica takes over before the timeout. */
    fun transferLeadership(): Boolean {
        val deadlineMs = clock() + TRANSFER_TIMEOUT_MS
        while (clock() < deadlineMs) {
            val isOnlyVoter = status().get().members.count { it.voter } <= 1
            if (isOnlyVoter) return true
            val stillLeads = CompletableFuture.supplyAsync(
                {
                    if (loop.leads) replica.transferLeadership(clock())
                    loop.leads
                },
                control
            )
            if (!stillLeads.get()) return true
            Thread.sleep(TRANSFER_POLL_MS)
        }
        return false
    }

    /**
     * Asks the leader to remove this replica if the cell has more than it needs, and waits until
     * that is decided: the others may need its vote until then. Returns false without a decision
     * within [timeoutMs].
     */
    fun leave(timeoutMs: Long): Boolean {
        val decided = CompletableFuture<Departure>()
        runOnControlThread { replica.leave(clock(), decided::complete) }
        return try {
            val departure = decided.get(timeoutMs, TimeUnit.MILLISECONDS)
            log.info("this replica stops and is {} as a member", departure.name.lowercase())
            true
        } catch (e: TimeoutException) {
            log.warn("this replica stops as a member: no decision within {} ms", timeoutMs, e)
            false
        }
    }

    override fun close() {
        network.close()
        CompletableFuture.runAsync(replica::stop, control).get()
        control.shutdown()
        listOf(storageThread, background, recordReader).forEach { executor ->
            executor.shutdown()
            executor.awaitTermination(TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }
        records.close()
        folder.close()
    }

    private fun tick() = haltOnError {
        replica.tick(clock())
        loop.runPass()
        load.tick(clock())
    }

    private fun schedulePass() {
        if (!passScheduled.compareAndSet(false, true)) return
        runOnControlThread {
            passScheduled.set(false)
            loop.runPass()
        }
    }

    private fun runOnControlThread(action: () -> Unit) {
        val enqueuedNanos = System.nanoTime()
        try {
            control.execute { haltOnError { load.run(enqueuedNanos, action) } }
        } catch (e: RejectedExecutionException) {
            log.debug("the control thread has stopped: {}", e.message)
        }
    }

    /**
     * Halts the process if [action] throws, because the executor would silently stop the timer: the
     * process would keep its leadership and decide nothing.
     */
    @Suppress("TooGenericExceptionCaught")
    private fun haltOnError(action: () -> Unit) {
        try {
            action()
        } catch (e: Throwable) {
            try {
                log.error("the control thread failed; the process stops", e)
            } finally {
                Runtime.getRuntime().halt(FAULT_EXIT_CODE)
            }
        }
    }

    private fun linkOf(session: ControlSession): TransportLink =
        links.getOrPut(session) { TransportLink(session) }

    private fun propose(payload: ByteArray, nowMs: Long): Long? =
        when (val result = replica.propose(payload, nowMs)) {
            is ProposeResult.Appended -> result.index
            is ProposeResult.NotLeader -> null
        }

    private fun confirmLeadership(nowMs: Long, onResult: (Boolean) -> Unit) =
        replica.read(nowMs) { onResult(it is ReadResult.Ready) }

    private fun logStatus(): LogStatus {
        val nowMs = clock()
        val status = replica.status(nowMs)
        return LogStatus(
            term = status.term,
            commitIndex = status.commitIndex,
            leader = status.leader,
            quorumHeardAtMs = status.quorumHeardAtMs ?: 0,
            toleratedLosses = status.toleratedLosses,
            replicas = status.members.map {
                ReplicaView(
                    it.replicaId.value,
                    it.hostId,
                    it.voter,
                    it.matchIndex ?: 0,
                    nowMs - (it.lastHeardMs ?: 0) < REACHABLE_WINDOW_MS
                )
            }
        )
    }

    private companion object {
        const val FAULT_EXIT_CODE = 70
    }
}

private class TransportLink(private val session: ControlSession) : SessionLink {
    override val hostId: HostId get() = session.hostId

    override fun send(message: ControlMessage) {
        session.send(message)
    }

    override fun close() = session.close()
}

private fun dataFolder(settings: Settings): Path =
    requireNotNull(settings.control.dataFolder) { "the control role needs a data folder" }

internal fun singleThread(name: String): ScheduledExecutorService =
    Executors.newSingleThreadScheduledExecutor { Thread(it, name) }
