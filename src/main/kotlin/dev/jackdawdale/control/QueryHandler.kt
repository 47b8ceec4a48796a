package dev.jackdawdale.control

import dev.jackdawdale.admission.isSameJob
import dev.jackdawdale.admission.isSameRequest
import dev.jackdawdale.model.Asked
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.CustomerId
import dev.jackdawdale.model.EndedWork
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.JobWork
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.RequestWork
import dev.jackdawdale.model.TaskPhase
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.tasksOf
import dev.jackdawdale.model.workId
import dev.jackdawdale.placement.waitingReason
import dev.jackdawdale.routing.waitingReason
import dev.jackdawdale.wire.EndpointView
import dev.jackdawdale.wire.Query
import dev.jackdawdale.wire.QueueEntry
import dev.jackdawdale.wire.Reply
import dev.jackdawdale.wire.WorkStage
import dev.jackdawdale.wire.WorkStatus
import dev.jackdawdale.wire.WorkerView

/** Answers queries from the leader's committed state as of [nowMs]. */
internal class QueryHandler(
    private val hostId: HostId,
    private val state: CellState,
    private val leading: Leadership,
    private val log: LogStatus,
    private val records: RecordAccess,
    private val nowMs: Long
) {
    fun answer(query: Query, reply: (Reply) -> Unit) = when (query) {
        is Query.Work -> work(query, reply)
        is Query.Contracts -> reply(contracts(query.customerId))
        Query.Endpoints -> reply(endpoints())
        Query.Workers -> reply(workers())
        is Query.Queue -> reply(queue(query))
        Query.CellStatus -> reply(cellStatus())
        is Query.Records -> records.search(query, reply)
        is Query.Staged -> error("staged queries must go to the control extension")
    }

    private fun work(query: Query.Work, reply: (Reply) -> Unit) {
        val request = state.requests[query.workId]
        val job = state.jobs[query.workId]
        val ended = state.ended[query.workId]
        val owner = request?.spec?.customerId ?: job?.spec?.customerId
        when {
            query.customerId != null && owner != null && owner != query.customerId ->
                reply(notFound(query.workId))

            request != null -> reply(Reply.Work(statusOf(request)))

            job != null -> reply(Reply.Work(statusOf(job)))

            ended != null -> endedWork(query, ended, reply)

            else -> reply(notFound(query.workId))
        }
    }

    private fun endedWork(query: Query.Work, ended: EndedWork, reply: (Reply) -> Unit) =
        records.read(ended.recordNumber) { record ->
            val hidden = query.customerId != null && record?.customerId != query.customerId
            when {
                record == null -> reply(recordUnavailable())
                hidden -> reply(notFound(query.workId))
                else -> reply(Reply.Work(record.toStatus(nowMs)))
            }
        }

    /** Replies to a resend of ended work from its record; refuses different work. */
    fun answerEnded(asked: Asked, reply: (Reply) -> Unit) {
        val workId = asked.workId
        val ended = state.ended[workId] ?: return reply(recordUnavailable())
        records.read(ended.recordNumber) { record ->
            when {
                record == null -> reply(recordUnavailable())
                !isSame(
                    record.asked,
                    asked
                ) -> reply(Reply.Refused(Refusal.RequestIdReused(workId)))
                else -> reply(Reply.Work(record.toStatus(nowMs)))
            }
        }
    }

    private fun isSame(recorded: Asked, asked: Asked): Boolean = when {
        recorded is Asked.Request && asked is Asked.Request ->
            isSameRequest(recorded.spec, asked.spec)

        recorded is Asked.Job && asked is Asked.Job -> isSameJob(recorded.spec, asked.spec)

        else -> false
    }

    private fun recordUnavailable() =
        Reply.Refused(Refusal.Unavailable("the record is not on this host yet", RETRY_AFTER_MS))

    private fun notFound(workId: WorkId) = Reply.Refused(Refusal.NotFound("work $workId"))

    private fun statusOf(work: RequestWork): WorkStatus = WorkStatus(
        workId = work.spec.workId,
        stage = if (work.placement == null) WorkStage.ACCEPTED else WorkStage.PLACED,
        contractVersion = work.contractVersion,
        acceptedAtMs = work.acceptedAtMs,
        attempts = work.attempts,
        waitingReason = if (work.placement == null) requestReason(work.spec.workId) else null,
        asOfMs = nowMs
    )

    private fun statusOf(job: JobWork): WorkStatus {
        val tasks = state.tasksOf(job)
        val held = tasks.count { it.placement != null }
        val started = tasks.any { it.placement?.startedAtMs != null } || job.succeededTasks > 0
        val waiting = tasks.any { it.phase == TaskPhase.WAITING }
        return WorkStatus(
            workId = job.spec.workId,
            stage = when {
                started -> WorkStage.STARTED
                held > 0 -> WorkStage.PLACED
                else -> WorkStage.ACCEPTED
            },
            contractVersion = job.contractVersion,
            acceptedAtMs = job.acceptedAtMs,
            taskCount = job.spec.taskCount,
            tasksRunning = held,
            tasksSucceeded = job.succeededTasks,
            attempts = tasks.sumOf { it.attempts },
            waitingReason = if (waiting) jobReason(job.spec.workId) else null,
            asOfMs = nowMs
        )
    }

    private fun requestReason(workId: WorkId): String? =
        waitingReason(state, leading.soft.routing, workId, nowMs)

    private fun jobReason(workId: WorkId): String? =
        waitingReason(state, leading.soft.placement, workId, nowMs)

    private fun contracts(customerId: CustomerId?): Reply {
        if (customerId == null) {
            val all = state.contracts.values.sortedBy { it.customerId.value }
            return Reply.Contracts(all, nowMs)
        }
        val contract = state.contracts[customerId]
            ?: return Reply.Refused(Refusal.NotFound("contract of customer $customerId"))
        return Reply.Contracts(listOf(contract), nowMs)
    }

    private fun endpoints(): Reply {
        val views = state.endpoints.values.sortedBy { it.info.endpointId.value }.map {
            val heardMs = leading.endpointHeardMs[it.info.endpointId]
            EndpointView(it.info, it.phase, it.inFlight.size, heardMs)
        }
        return Reply.Endpoints(views, nowMs)
    }

    private fun workers(): Reply {
        val views = state.workers.values.sortedBy { it.info.workerId.value }.map {
            val heardMs = leading.soft.tasks.contacts[it.info.workerId]?.lastHeardMs
            WorkerView(it.info, it.phase, it.allocated, it.taskIds.size, heardMs)
        }
        return Reply.Workers(views, nowMs)
    }

    private fun queue(query: Query.Queue): Reply {
        val requests = state.requests.values
            .filter { it.placement == null && query.covers(it.spec.customerId) }
        val jobs = state.jobs.values
            .filter { query.covers(it.spec.customerId) }
            .filter { job -> state.tasksOf(job).any { it.phase == TaskPhase.WAITING } }
        val limit = query.limit.coerceIn(1, MAX_QUEUE_ENTRIES)
        val requestEntries = requests.sortedBy { it.acceptedAtMs }.take(limit).map {
            QueueEntry(it.spec.workId, it.acceptedAtMs, 1, requestReason(it.spec.workId).orEmpty())
        }
        val jobEntries = jobs.sortedBy { it.acceptedAtMs }.take(limit).map { job ->
            val waiting = state.tasksOf(job).filter { it.phase == TaskPhase.WAITING }
            val sinceMs = waiting.minOf { it.waitingSinceMs }
            QueueEntry(job.spec.workId, sinceMs, waiting.size, jobReason(job.spec.workId).orEmpty())
        }
        val entries = (requestEntries + jobEntries).sortedBy { it.waitingSinceMs }.take(limit)
        return Reply.Queue(entries, requests.size + jobs.size, nowMs)
    }

    private fun cellStatus(): Reply = Reply.CellStatus(
        leader = hostId,
        term = leading.term,
        commitIndex = log.commitIndex,
        replicas = log.replicas,
        toleratedLosses = log.toleratedLosses,
        entryHosts = state.entryHosts.keys.sortedBy { it.value },
        waitingRequests = state.requests.values.count { it.placement == null },
        placedRequests = state.requests.values.count { it.placement != null },
        waitingTasks = state.tasks.values.count { it.phase == TaskPhase.WAITING },
        runningTasks = state.tasks.values.count { it.placement != null },
        endedWork = state.nextRecordNumber,
        asOfMs = nowMs
    )

    private companion object {
        const val MAX_QUEUE_ENTRIES = 10_000
        const val RETRY_AFTER_MS = 1_000L
    }
}

private fun Query.Queue.covers(owner: CustomerId): Boolean =
    customerId == null || customerId == owner
