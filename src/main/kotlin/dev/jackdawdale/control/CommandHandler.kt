package dev.jackdawdale.control

import dev.jackdawdale.admission.AdmissionDecision
import dev.jackdawdale.admission.ContractDecision
import dev.jackdawdale.admission.decideContractChange
import dev.jackdawdale.admission.decideJob
import dev.jackdawdale.admission.decideRequest
import dev.jackdawdale.admission.isSameJob
import dev.jackdawdale.admission.isSameRequest
import dev.jackdawdale.membership.decideEndpointAnnouncement
import dev.jackdawdale.membership.decideReportedSlots
import dev.jackdawdale.model.Asked
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndpointPhase
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.RequestSpec
import dev.jackdawdale.model.StopReason
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.WorkerPhase
import dev.jackdawdale.model.contractOf
import dev.jackdawdale.recovery.CancelDecision
import dev.jackdawdale.recovery.decideAnnouncement
import dev.jackdawdale.recovery.decideCancel
import dev.jackdawdale.recovery.decideWorkerLost
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.Operation
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.Reply

/**
 * Handles commands from entry hosts within a pass. A reply is sent once all earlier decisions are
 * durable.
 *
 * @param answerOrHold answers a worker's poll, or holds it until there is an order
 * @param answerQuery answers a query from the committed state
 * @param answerEnded answers a resend of ended work: with its record, if it is the same work
 */
internal class CommandHandler(
    private val settings: ControlSettings,
    private val waiters: RequestWaiters,
    private val answerOrHold: (WorkerPoll) -> Unit,
    private val answerQuery: (CallContext, Query) -> Unit,
    private val answerEnded: (CallContext, Asked) -> Unit,
    private val refused: (Refusal) -> Unit,
    private val extension: ControlExtension
) {
    fun handle(pass: Pass, leading: Leadership, call: CallContext, command: Command) =
        when (command) {
            is Command.SubmitRequest -> submitRequest(pass, call, command)
            is Command.SubmitJob -> submitJob(pass, call, command)
            is Command.Cancel -> cancel(pass, call, command)
            is Command.PutContract -> putContract(pass, call, command)
            is Command.AnnounceEndpoint -> announceEndpoint(pass, leading, call, command)
            is Command.AnnounceWorker -> announceWorker(pass, call, command)
            is Command.OperateEndpoint -> operateEndpoint(pass, call, command)
            is Command.OperateWorker -> operateWorker(pass, call, command)
            is Command.ConfirmWorkerLost -> confirmWorkerLost(pass, call, command)

            is Command.Staged -> extension.handle(pass, command.command) { reply ->
                call.reply(Reply.Staged(reply))
            }
        }

    private fun submitRequest(pass: Pass, call: CallContext, command: Command.SubmitRequest) {
        val spec = command.toSpec(pass.nowMs)
        val known = pass.state.requests[spec.workId]
        val hostId = call.session.link.hostId
        when {
            known != null &&
                !isSameRequest(
                    known.spec,
                    spec
                ) -> return reused(pass, call, spec.workId)
            known != null && known.entryHostId != hostId ->
                pass.emit(Event.RequestEntryHostChanged(spec.workId, hostId))

            known != null -> Unit

            spec.workId in pass.state.ended ->
                return pass.whenDurable { answerEnded(call, Asked.Request(spec)) }

            spec.workId in pass.state.jobs -> return reused(pass, call, spec.workId)

            else -> {
                val decision = decideRequest(
                    pass.state,
                    pass.soft.admission,
                    spec,
                    hostId,
                    pass.nowMs
                )
                if (!accept(pass, call, decision)) return
            }
        }
        if (command.waits) waiters.add(spec.workId, hostId)
        replyWork(pass, call, spec.customerId, spec.workId)
    }

    private fun submitJob(pass: Pass, call: CallContext, command: Command.SubmitJob) {
        val spec = command.spec
        val known = pass.state.jobs[spec.workId]
        when {
            known != null && !isSameJob(known.spec, spec) -> return reused(pass, call, spec.workId)

            known != null -> Unit

            spec.workId in pass.state.ended ->
                return pass.whenDurable { answerEnded(call, Asked.Job(spec)) }

            spec.workId in pass.state.requests -> return reused(pass, call, spec.workId)
            else -> {
                val decision = decideJob(pass.state, pass.soft.admission, spec, pass.nowMs)
                if (!accept(pass, call, decision)) return
            }
        }
        replyWork(pass, call, spec.customerId, spec.workId)
    }

    private fun accept(pass: Pass, call: CallContext, decision: AdmissionDecision): Boolean =
        when (decision) {
            is AdmissionDecision.Admitted -> {
                pass.emitAll(decision.events)
                true
            }

            is AdmissionDecision.Refused -> {
                refuse(pass, call, decision.refusal)
                false
            }
        }

    private fun cancel(pass: Pass, call: CallContext, command: Command.Cancel) {
        val decision = decideCancel(pass.state, command.customerId, command.workId, pass.nowMs)
        when (decision) {
            is CancelDecision.Refused -> return refuse(pass, call, decision.refusal)
            is CancelDecision.Accepted -> pass.emitAll(decision.events)
        }
        replyWork(pass, call, command.customerId, command.workId)
    }

    private fun putContract(pass: Pass, call: CallContext, command: Command.PutContract) {
        val decision = decideContractChange(
            pass.state,
            command.changeId,
            command.expectedVersion,
            command.contract,
            pass.nowMs
        )
        when (decision) {
            is ContractDecision.Refused -> return refuse(pass, call, decision.refusal)
            is ContractDecision.Changed -> pass.emit(decision.event)
            is ContractDecision.AlreadyApplied -> Unit
        }
        val contract = pass.state.contractOf(command.contract.customerId) ?: return
        val version = pass.state.changes[command.changeId]?.version ?: contract.version
        val accepted = Reply.ContractAccepted(contract.copy(version = version))
        pass.whenDurable { call.reply(accepted) }
    }

    private fun announceEndpoint(
        pass: Pass,
        leading: Leadership,
        call: CallContext,
        command: Command.AnnounceEndpoint
    ) {
        val id = command.info.endpointId
        pass.emitAll(decideEndpointAnnouncement(pass.state, command.info, command.leaving))
        command.running?.let { running ->
            pass.emitAll(decideReportedSlots(pass.state, command.info, running, pass.nowMs))
        }
        leading.endpointHeardMs[id] = pass.nowMs
        val phase = pass.state.endpoints[id]?.phase ?: EndpointPhase.GONE
        pass.whenDurable { call.reply(Reply.EndpointAnnounced(phase)) }
    }

    private fun announceWorker(pass: Pass, call: CallContext, command: Command.AnnounceWorker) {
        val workerId = command.info.workerId
        val decision = decideAnnouncement(
            pass.state,
            pass.soft.tasks,
            command.info,
            command.leaving,
            command.running,
            command.ended,
            pass.nowMs
        )
        if (!decision.current) return refuse(pass, call, olderIncarnation)
        pass.replaceTasks(decision.recovery)
        pass.emitAll(decision.events)
        val poll = WorkerPoll(
            link = call.session.link,
            callId = call.callId,
            workerId = workerId,
            running = command.running,
            acknowledged = decision.acknowledged,
            untilMs = pass.nowMs + command.pollMs.coerceIn(0, settings.maxPollMs)
        )
        pass.whenDurable { answerOrHold(poll) }
    }

    private fun operateEndpoint(pass: Pass, call: CallContext, command: Command.OperateEndpoint) {
        val endpoint = pass.state.endpoints[command.endpointId]
            ?: return refuse(pass, call, Refusal.NotFound("endpoint ${command.endpointId}"))
        val phase = when (command.operation) {
            Operation.START -> EndpointPhase.ACTIVE
            Operation.DRAIN -> EndpointPhase.DRAINING
            Operation.STOP -> EndpointPhase.STOPPED
        }
        if (endpoint.phase != phase) {
            val incarnation = endpoint.info.incarnation
            pass.emit(Event.EndpointPhaseChanged(command.endpointId, incarnation, phase))
        }
        pass.whenDurable { call.reply(Reply.Done) }
    }

    private fun operateWorker(pass: Pass, call: CallContext, command: Command.OperateWorker) {
        val worker = pass.state.workers[command.workerId]
            ?: return refuse(pass, call, Refusal.NotFound("worker ${command.workerId}"))
        val phase = when (command.operation) {
            Operation.START -> WorkerPhase.ACTIVE
            Operation.DRAIN, Operation.STOP -> WorkerPhase.DRAINING
        }
        if (worker.phase != phase) {
            val incarnation = worker.info.incarnation
            pass.emit(Event.WorkerPhaseChanged(command.workerId, incarnation, phase))
        }
        if (command.operation == Operation.STOP) {
            worker.taskIds.mapNotNull { pass.state.tasks[it] }
                .filter { it.phase != TaskPhase.STOPPING }
                .mapNotNull { it.placement?.let { held -> it.taskId to held.token } }
                .forEach { (taskId, token) ->
                    pass.emit(Event.TaskStopRequested(taskId, token, StopReason.WORKER_DRAIN))
                }
        }
        pass.whenDurable { call.reply(Reply.Done) }
    }

    private fun confirmWorkerLost(
        pass: Pass,
        call: CallContext,
        command: Command.ConfirmWorkerLost
    ) {
        if (command.workerId !in pass.state.workers) {
            return refuse(pass, call, Refusal.NotFound("worker ${command.workerId}"))
        }
        val decision =
            decideWorkerLost(pass.state, pass.soft.tasks, command.workerId, pass.nowMs)
        pass.replaceTasks(decision.recovery)
        pass.emitAll(decision.events)
        pass.whenDurable { call.reply(Reply.Done) }
    }

    private fun replyWork(pass: Pass, call: CallContext, customerId: CustomerId, workId: WorkId) =
        pass.whenDurable { answerQuery(call, Query.Work(customerId, workId)) }

    private fun reused(pass: Pass, call: CallContext, workId: WorkId) =
        refuse(pass, call, Refusal.RequestIdReused(workId))

    /** Waits for durability like any reply: a replaced leader must not refuse known work. */
    private fun refuse(pass: Pass, call: CallContext, refusal: Refusal) {
        refused(refusal)
        pass.whenDurable { call.reply(Reply.Refused(refusal)) }
    }
}

/** The reply to a worker process that a newer one has replaced: no lease and no orders. */
private val olderIncarnation =
    Refusal.Invalid("incarnation", "a newer incarnation of this worker has announced itself")

private fun Command.SubmitRequest.toSpec(nowMs: Long) = RequestSpec(
    workId = workId,
    customerId = customerId,
    service = service,
    idempotent = idempotent,
    kind = kind,
    declaredRunTimeMs = declaredRunTimeMs,
    urgency = urgency,
    deadlineMs = nowMs + deadlineInMs,
    contentType = contentType,
    body = body
)
