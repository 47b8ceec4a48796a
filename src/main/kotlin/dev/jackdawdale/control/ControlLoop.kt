package dev.jackdawdale.control

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.WorkerId
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.decodeCellState
import dev.jackdawdale.model.decodeEventBatch
import dev.jackdawdale.model.encode
import dev.jackdawdale.recovery.leaseGranted
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.EntryMessage
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply

/**
 * Makes all decisions of the cell on one thread.
 *
 * While this replica leads, inputs are batched into passes. A pass decides on the state with all
 * proposed events applied and appends its events to the log as one entry. Its effects run once
 * that entry is committed. All functions must be called on the control thread.
 *
 * @param wakeUp schedules a call of [runPass] on the control thread
 */
internal class ControlLoop(
    private val hostId: HostId,
    private val settings: ControlSettings,
    private val log: ReplicatedLog,
    private val records: RecordAccess,
    private val clock: () -> Long,
    private val wakeUp: () -> Unit,
    private val observer: ControlObserver = ControlObserver(),
    private val extension: ControlExtension = ControlExtension()
) {
    private val inbox = ArrayDeque<(Pass) -> Unit>()
    private val sessions = ControlSessions()
    private val waiters = RequestWaiters()
    private val configurations = ConfigurationSender(settings, log, sessions, clock)
    private val polls = PollHandler(settings, { committed }, ::now, ::grantLease)
    private val commands = CommandHandler(
        settings,
        waiters,
        polls::answerOrHold,
        ::answerQuery,
        { call, asked -> queryHandler()?.answerEnded(asked, call::reply) },
        observer.refused,
        extension
    )
    private var leadership: Leadership? = null

    private val leaderLookups = LeaderLookups()
    private var lastTickMs = 0L
    private val unconfirmedEffects = ArrayList<() -> Unit>()
    private var lastConfirmMs = 0L

    /** Added to this leader's clock so that times in the log never decrease. */
    private var clockOffsetMs = 0L

    /** The state with all committed events applied. */
    var committed: CellState = CellState()
        private set

    val leads: Boolean get() = leadership != null

    // Called by the replica

    /** Applies a committed log entry. */
    fun applyCommitted(index: Long, payload: ByteArray) {
        val ownBatch = leadership?.proposed?.firstOrNull()?.takeIf { it.index == index }
        val before = committed
        if (ownBatch != null) {
            leadership?.proposed?.removeFirst()
            committed = ownBatch.after
            records.append(ownBatch.records, index)
            observer.committed(CommittedBatch(ownBatch.batch, before, committed, leadership?.soft))
            runEffects(ownBatch, before)
            wakeUp()
        } else {
            val batch = decodeEventBatch(payload)
            val applied = before.apply(batch)
            committed = applied.state
            records.append(applied.records, index)
            observer.committed(CommittedBatch(batch, before, committed, soft = null))
        }
    }

    /** Replaces the committed state with a snapshot of another replica. */
    fun restore(snapshot: ByteArray) {
        committed = decodeCellState(snapshot)
        records.expectCount(committed.nextRecordNumber)
    }

    /** Captures the committed state; the returned function encodes it on any thread. */
    fun capture(): () -> ByteArray {
        val captured = committed
        return { captured.encode() }
    }

    fun becameLeader(term: Long) {
        clockOffsetMs = maxOf(0, committed.lastBatchMs - clock())
        lastTickMs = 0
        val nowMs = now()
        leadership = Leadership(term, committed, softState(committed, nowMs, settings), nowMs)
        sessions.reset(committed, nowMs)
        configurations.sendSoon()
        extension.becameLeader(term, committed, nowMs)
        observer.roleChanged(true, term)
        leaderLookups.becameLeader(term)
    }

    fun lostLeadership(term: Long) {
        leadership = null
        inbox.clear()
        unconfirmedEffects.clear()
        waiters.clear()
        polls.clear()
        extension.lostLeadership()
        sessions.closeAll(ControlMessage.NotLeader(log.status().leader))
        observer.roleChanged(false, term)
    }

    // Inputs from entry hosts

    fun received(link: SessionLink, message: EntryMessage) {
        if (message is EntryMessage.FindLeader) {
            return leaderLookups.answer(link, leadership?.term, log.status().leader)
        }
        if (leadership == null) {
            link.send(ControlMessage.NotLeader(log.status().leader))
            link.close()
            return
        }
        inbox += { pass -> handle(pass, link, message) }
        wakeUp()
    }

    fun sessionClosed(link: SessionLink) {
        leaderLookups.linkClosed(link)
        sessions.closed(link)
    }

    /** Hosts that can make calls to external services. */
    val adviceHosts: Set<HostId> get() = sessions.dispatchable()

    /** Sends [message] to an entry host; returns false if it has no session. */
    fun sendTo(hostId: HostId, message: ControlMessage): Boolean {
        val session = sessions.of(hostId) ?: return false
        session.link.send(message)
        return true
    }

    /** Runs [action] in a later pass; returns false if this replica does not lead. */
    fun submit(action: (Pass) -> Unit): Boolean {
        if (leadership == null) return false
        inbox += action
        wakeUp()
        return true
    }

    private fun handle(pass: Pass, link: SessionLink, message: EntryMessage) {
        val leading = leadership ?: return
        if (message is EntryMessage.SessionOpen) return pass.openSession(leading, link, message)
        val session = sessions.of(link) ?: return link.close()
        sessions.heard(session, pass.nowMs)
        when (message) {
            is EntryMessage.SessionOpen, is EntryMessage.FindLeader -> Unit

            is EntryMessage.SessionHeartbeat -> session.draining = message.draining

            is EntryMessage.AttemptFinished -> pass.finishAttempt(session, message)

            is EntryMessage.AdviceAnswered -> extension.adviceAnswered(
                pass,
                link.hostId,
                message.callId,
                message.result
            )

            is EntryMessage.CommandCall ->
                commands.handle(
                    pass,
                    leading,
                    CallContext(session, message.callId),
                    message.command
                )

            is EntryMessage.QueryCall -> pass.whenDurable {
                answerQuery(CallContext(session, message.callId), message.query)
            }
        }
    }

    private fun Pass.openSession(
        leading: Leadership,
        link: SessionLink,
        message: EntryMessage.SessionOpen
    ) {
        if (message.highestTerm > leading.term) {
            link.send(ControlMessage.NotLeader(null))
            return link.close()
        }
        val session = ControlSession(link, message.incarnation)
        session.draining = message.draining
        sessions.open(session, nowMs)
        joinEntryHost(message)
        whenDurable {
            link.send(ControlMessage.SessionAccepted(leading.term, log.status().controlHosts))
            configurations.send(session, committed, leading.term)
        }
    }

    // Passes

    /** Decides queued inputs and expired timeouts, and schedules waiting work. */
    fun runPass() {
        val leading = leadership ?: return
        if (leading.proposed.size >= settings.maxBatchesInFlight) return
        // A pass cannot be undone, so inputs stay queued while the log accepts no entries.
        if (!log.canPropose()) return
        val startedNanos = System.nanoTime()
        val pass = Pass(leading.state, leading.soft, now())
        repeat(minOf(inbox.size, settings.maxInputsPerPass)) { inbox.removeFirst()(pass) }
        val tickDue = pass.nowMs - lastTickMs >= settings.tickMs
        if (tickDue) decideTimeouts(pass, leading)
        pass.schedule(sessions.dispatchable(), settings.maxPlacementsPerPass)
        extension.decide(pass)
        finish(pass, leading)
        if (tickDue) sendDue(leading)
        observer.passFinished(System.nanoTime() - startedNanos)
        if (inbox.isNotEmpty()) wakeUp()
    }

    private fun decideTimeouts(pass: Pass, leading: Leadership) {
        lastTickMs = pass.nowMs
        pass.tickMembers(leading, sessions, settings)
        pass.tickTasks()
    }

    private fun sendDue(leading: Leadership) {
        polls.answerDue()
        configurations.sendDue(committed, leading.term)
    }

    private fun finish(pass: Pass, leading: Leadership) {
        leading.soft = pass.soft
        // Effects of earlier passes are confirmed here also while every pass has events.
        confirm(if (pass.events.isEmpty()) pass.effects else emptyList())
        if (pass.events.isEmpty()) return
        val batch = EventBatch(pass.nowMs, pass.events)
        val index = log.propose(batch.encode(), clock()) ?: return
        leading.state = pass.state.copy(lastBatchMs = pass.nowMs)
        leading.proposed += ProposedBatch(index, batch, leading.state, pass)
    }

    /**
     * Runs effects of passes without events, after a quorum confirms that this replica still
     * leads and all batches proposed by then are committed.
     */
    private fun confirm(added: List<() -> Unit>) {
        unconfirmedEffects += added
        val nowMs = clock()
        if (unconfirmedEffects.isEmpty() || nowMs - lastConfirmMs < settings.confirmEveryMs) return
        lastConfirmMs = nowMs
        val effects = unconfirmedEffects.toList()
        unconfirmedEffects.clear()
        val leading = leadership
        log.confirmLeadership(nowMs) { stillLeads ->
            if (!stillLeads || leadership !== leading) return@confirmLeadership
            val last = leading?.proposed?.lastOrNull()
            if (last == null) effects.forEach { it() } else last.effects += effects
        }
    }

    private fun runEffects(ownBatch: ProposedBatch, before: CellState) {
        ownBatch.batch.events.forEach { event ->
            when (event) {
                is Event.RequestPlaced -> dispatch(event)
                is Event.RequestEnded -> notifyWaiters(event, before)
                is Event.ContractChanged -> configurations.sendSoon()
                else -> Unit
            }
        }
        ownBatch.effects.forEach { it() }
        ownBatch.batch.events.mapNotNull(::workerWithOrders).toSet().forEach(polls::recheck)
        leadership?.let { configurations.sendDue(committed, it.term) }
    }

    private fun workerWithOrders(event: Event): WorkerId? = when (event) {
        is Event.TaskPlaced -> event.workerId
        is Event.TaskStopRequested -> committed.tasks[event.taskId]?.placement?.workerId
        is Event.TaskAllocationChanged -> committed.tasks[event.taskId]?.placement?.workerId
        else -> null
    }

    private fun now(): Long = clock() + clockOffsetMs

    // Effects

    /** Sends a placed request to its entry host, unless the placement was already revoked. */
    private fun dispatch(event: Event.RequestPlaced) {
        val work = leadership?.state?.requests?.get(event.workId) ?: return
        if (work.placement?.token != event.token) return
        val session = sessions.of(event.entryHostId) ?: return
        if (session.incarnation != event.entryIncarnation) return
        val endpoint = committed.endpoints[event.endpointId] ?: return
        val term = leadership?.term ?: return
        val hostCount = committed.entryHosts.size
        session.link.send(dispatchOf(term, work, endpoint, now(), settings, hostCount))
    }

    private fun notifyWaiters(event: Event.RequestEnded, before: CellState) {
        val attempts = before.requests[event.workId]?.attempts
        val ended =
            ControlMessage.RequestEnded(event.workId, event.outcome, event.answer, attempts)
        waiters.take(event.workId).forEach { sessions.of(it)?.link?.send(ended) }
    }

    private fun grantLease(workerId: WorkerId) {
        val leading = leadership ?: return
        val tasks = leaseGranted(leading.soft.tasks, workerId, now())
        leading.soft = leading.soft.copy(tasks = tasks)
    }

    private fun answerQuery(call: CallContext, query: Query) {
        if (query is Query.Staged) {
            return call.reply(Reply.Staged(extension.answer(committed, query.query)))
        }
        queryHandler()?.answer(query, call::reply)
    }

    private fun queryHandler(): QueryHandler? =
        leadership?.let { QueryHandler(hostId, committed, it, log.status(), records, now()) }
}
