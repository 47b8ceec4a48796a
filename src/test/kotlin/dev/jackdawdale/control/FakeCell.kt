package dev.jackdawdale.control

import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.ServiceName
import dev.jackdawdale.model.Urgency
import dev.jackdawdale.model.WorkRecord
import dev.jackdawdale.model.blob
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleEndpoint
import dev.jackdawdale.model.workId
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.EntryMessage
import dev.jackdawdale.wire.Reply

/** Records the messages that a leader sends to one entry host. */
internal class FakeLink(override val hostId: HostId) : SessionLink {
    val sent = mutableListOf<ControlMessage>()
    var closed = false

    override fun send(message: ControlMessage) {
        sent += message
    }

    override fun close() {
        closed = true
    }

    fun replyTo(callId: Long): Reply? =
        sent.filterIsInstance<ControlMessage.ReplyTo>().firstOrNull { it.callId == callId }?.reply

    inline fun <reified T : ControlMessage> sentOf(): List<T> = sent.filterIsInstance<T>()
}

/** A control loop on a fake log that commits only when the test calls [commit]. */
internal class FakeCell {
    var nowMs = 1_000_000L
    private val uncommitted = ArrayDeque<Pair<Long, ByteArray>>()
    private val pendingReads = ArrayDeque<(Boolean) -> Unit>()
    private var nextIndex = 1L
    val records = mutableListOf<WorkRecord>()

    /** False during a leadership transfer. */
    var accepting = true

    private val log = ReplicatedLog(
        canPropose = { accepting },
        propose = { payload, _ ->
            if (!accepting) return@ReplicatedLog null
            val index = nextIndex++
            uncommitted.addLast(index to payload)
            index
        },
        confirmLeadership = { _, onResult -> pendingReads.addLast(onResult) },
        status = { LogStatus(1, nextIndex - 1, HostId("c1"), nowMs, 0, emptyList()) }
    )

    val loop = ControlLoop(
        hostId = HostId("c1"),
        settings = ControlSettings(),
        log = log,
        records = RecordAccess(
            append = { added, _ -> records += added },
            expectCount = {},
            read = { number, onResult ->
                onResult(records.firstOrNull { it.number == number })
            },
            search = { _, reply -> reply(Reply.Records(records, emptyList(), null)) }
        ),
        clock = { nowMs },
        wakeUp = {}
    )

    init {
        loop.becameLeader(1)
    }

    /** Decides queued inputs without committing. */
    fun decide() = loop.runPass()

    /** Commits all proposed entries and confirms leadership for pending reads. */
    fun commit() {
        while (pendingReads.isNotEmpty() || uncommitted.isNotEmpty()) {
            while (uncommitted.isNotEmpty()) {
                val (index, payload) = uncommitted.removeFirst()
                loop.applyCommitted(index, payload)
            }
            repeat(pendingReads.size) { pendingReads.removeFirst()(true) }
        }
    }

    /** Runs and commits a few passes, so that follow-up decisions are made too. */
    fun runAndCommitPasses() {
        repeat(SETTLE_PASSES) {
            decide()
            commit()
        }
    }

    fun openSession(
        host: String,
        incarnation: Long = 1,
        held: List<HeldAttempt> = emptyList()
    ): FakeLink {
        val link = FakeLink(HostId(host))
        val open = EntryMessage.SessionOpen(
            link.hostId,
            incarnation,
            FailureDomain("kochi"),
            0,
            held,
            false
        )
        loop.received(link, open)
        return link
    }

    fun call(link: FakeLink, callId: Long, command: Command) =
        loop.received(link, EntryMessage.CommandCall(callId, command))

    /** Adds one entry host, one customer and one endpoint. */
    fun ready(): FakeLink {
        val link = openSession("e1")
        runAndCommitPasses()
        call(link, 1, Command.PutContract(ChangeId("c1"), 0, sampleContract("acme", 0)))
        call(link, 2, Command.AnnounceEndpoint(sampleEndpoint("p1"), leaving = false))
        runAndCommitPasses()
        return link
    }

    private companion object {
        const val SETTLE_PASSES = 5
    }
}

internal fun submit(
    requestId: String,
    idempotent: Boolean = false,
    body: String = "pane"
): Command.SubmitRequest = Command.SubmitRequest(
    workId = workId(CustomerId("acme"), requestId),
    customerId = CustomerId("acme"),
    service = ServiceName("planning"),
    idempotent = idempotent,
    kind = "check",
    declaredRunTimeMs = null,
    urgency = Urgency.NORMAL,
    deadlineInMs = 60_000,
    contentType = "text/plain",
    body = blob(body),
    waits = true
)
