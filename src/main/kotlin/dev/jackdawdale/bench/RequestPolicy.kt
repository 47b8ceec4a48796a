package dev.jackdawdale.bench

import dev.jackdawdale.admission.AdmissionDecision
import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Contract
import dev.jackdawdale.model.EndpointId
import dev.jackdawdale.model.EndpointInfo
import dev.jackdawdale.model.EntryHost
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.FailureDomain
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.emptyBlob
import dev.jackdawdale.routing.RoutingSettings

internal const val BENCH_ENDPOINTS = 30
internal const val BENCH_SLOTS = 8
internal const val BENCH_CAPACITY = BENCH_ENDPOINTS * BENCH_SLOTS

/** Decides which requests start when. [simulate] calls it in order of virtual time. */
internal interface RequestPolicy {
    /** Returns false when the request is refused. */
    fun arrive(run: RequestRun, nowMs: Long): Boolean

    fun end(run: RequestRun, nowMs: Long)

    /** The requests that start now. */
    fun starts(nowMs: Long): List<RequestRun>
}

/** The policy that uses the decision functions of the system. */
internal class CellPolicy(contracts: List<Contract>, settings: RoutingSettings) : RequestPolicy {
    private val cell = RequestCell(routingSettings = settings)
    private val hostId = HostId("e1")
    private val runs = HashMap<String, RequestRun>()

    init {
        contracts.forEach {
            cell.append(Event.ContractChanged(ChangeId("change-${it.customerId}"), it))
        }
        cell.append(Event.EntryHostJoined(EntryHost(hostId, 1, FailureDomain("kochi"))))
        repeat(BENCH_ENDPOINTS) { cell.append(Event.EndpointJoined(benchEndpoint(it))) }
    }

    override fun arrive(run: RequestRun, nowMs: Long): Boolean {
        cell.nowMs = nowMs
        if (cell.submit(run.spec, hostId) !is AdmissionDecision.Admitted) return false
        runs[run.spec.workId.value] = run
        return true
    }

    override fun end(run: RequestRun, nowMs: Long) {
        cell.nowMs = nowMs
        val placement = cell.state.requests[run.spec.workId]?.placement ?: return
        val answer = AttemptResult.Answered(Answer(200, "text/plain", emptyBlob))
        cell.finish(run.spec.workId, placement.token, answer)
        runs.remove(run.spec.workId.value)
    }

    override fun starts(nowMs: Long): List<RequestRun> {
        cell.nowMs = nowMs
        return cell.routeOnce().filterIsInstance<Event.RequestPlaced>()
            .mapNotNull { runs[it.workId.value] }
    }
}

internal fun benchEndpoint(index: Int): EndpointInfo = EndpointInfo(
    endpointId = EndpointId("p$index"),
    incarnation = 1,
    service = benchService,
    address = "127.0.0.1",
    port = 9_000 + index,
    slots = BENCH_SLOTS,
    connections = 60,
    failureDomain = FailureDomain("kochi")
)

/** One queue: first come, first served. */
internal class FirstComePolicy : RequestPolicy {
    private val queue = ArrayDeque<RequestRun>()
    private var free = BENCH_CAPACITY

    override fun arrive(run: RequestRun, nowMs: Long): Boolean = queue.add(run)

    override fun end(run: RequestRun, nowMs: Long) {
        free++
    }

    override fun starts(nowMs: Long): List<RequestRun> = buildList {
        while (free > 0 && queue.isNotEmpty()) {
            free--
            add(queue.removeFirst())
        }
    }
}

/** One queue per endpoint; [choose] picks the endpoint when the request arrives. */
internal class EndpointQueuePolicy(
    private val expectedMs: (RequestRun) -> Double,
    private val choose: (backlogMs: DoubleArray, arrival: Int) -> Int
) : RequestPolicy {
    private val queues = List(BENCH_ENDPOINTS) { ArrayDeque<RequestRun>() }
    private val free = IntArray(BENCH_ENDPOINTS) { BENCH_SLOTS }
    private val backlogMs = DoubleArray(BENCH_ENDPOINTS)
    private val endpointOf = HashMap<Int, Int>()
    private var arrivals = 0

    override fun arrive(run: RequestRun, nowMs: Long): Boolean {
        val endpoint = choose(backlogMs, arrivals++)
        endpointOf[run.index] = endpoint
        backlogMs[endpoint] += expectedMs(run)
        return queues[endpoint].add(run)
    }

    override fun end(run: RequestRun, nowMs: Long) {
        val endpoint = endpointOf.remove(run.index) ?: return
        backlogMs[endpoint] -= expectedMs(run)
        free[endpoint]++
    }

    override fun starts(nowMs: Long): List<RequestRun> = buildList {
        for (endpoint in queues.indices) {
            while (free[endpoint] > 0 && queues[endpoint].isNotEmpty()) {
                free[endpoint]--
                add(queues[endpoint].removeFirst())
            }
        }
    }
}

internal fun roundRobin(): RequestPolicy =
    EndpointQueuePolicy(expectedMs = { 1.0 }) { backlog, arrival -> arrival % backlog.size }

/** Assigns each request on arrival to the endpoint with the least expected work. */
internal fun predictive(): RequestPolicy = EndpointQueuePolicy(
    expectedMs = { (it.spec.declaredRunTimeMs ?: it.runTimeMs).toDouble() }
) { backlog, _ -> backlog.indices.minBy { backlog[it] } }
