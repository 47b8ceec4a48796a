package dev.jackdawdale.push

import dev.jackdawdale.control.ControlSettings
import dev.jackdawdale.control.Pass
import dev.jackdawdale.control.softState
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.apply
import dev.jackdawdale.staged.PushWorker
import dev.jackdawdale.staged.QueueConfiguration
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedCommand
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.StagedQuery
import dev.jackdawdale.staged.StagedReply
import dev.jackdawdale.staged.StagedState

private const val PASS_MS = 20L

/**
 * The staged jobs of a process that can become leader and lose leadership, starting from the state
 * after [events]. The test runs the passes and answers start orders.
 *
 * @param report answers of the workers to requests for a report; they list no runs by default
 * @param stop answers of the workers to stop orders, or null for none
 * @param calls carries out all calls to workers in place of the other parameters
 */
internal class StagedControlFixture(
    events: List<StagedEvent>,
    adviceHosts: Set<HostId> = emptySet(),
    private val report: (PushWorker, nowMs: Long) -> ReportResult = { _, nowMs ->
        ReportResult.Reported(RunReport(1, nowMs, emptyList(), emptyList()))
    },
    private val stop: (PushWorker, StageTaskId, run: Int) -> StopResult? = { _, _, _ -> null },
    calls: WorkerClient? = null,
    settings: PushSettings = PushSettings()
) {
    val starts = ArrayList<StartOrder>()

    /** Ids of the workers that got the orders in [starts]. */
    val startedOn = ArrayList<String>()
    val startResults = ArrayList<(StartResult) -> Unit>()
    val adviceCalls = ArrayList<AdviceCall>()
    var nowMs = 100_000L
        private set
    val staged: StagedState get() = state.staged
    private var state = CellState().apply(EventBatch(nowMs, events.map { Event.Staged(it) })).state
    private val actions = ArrayDeque<(Pass) -> Unit>()
    private val control = StagedControl(
        settings,
        LeaderDependencies(
            calls ?: WorkerClient(
                start = { worker, order, onResult ->
                    starts += order
                    startedOn += worker.workerId
                    startResults += onResult
                },
                stop = { worker, taskId, run, _, onResult ->
                    stop(worker, taskId, run)?.let(onResult)
                },
                report = { worker, _, onResult -> onResult(report(worker, nowMs)) }
            ),
            submit = { actions += it },
            quorumHeardMs = { nowMs },
            clock = { nowMs },
            adviceHosts = { adviceHosts },
            askAdvice = {
                adviceCalls += it
                true
            }
        )
    )

    fun becomeLeader(term: Long) = control.extension.becameLeader(term, state, nowMs)

    /** Drops pending actions, as the control loop does. */
    fun loseLeadership() {
        actions.clear()
        control.extension.lostLeadership()
    }

    /** Runs [action] in the next pass. */
    fun submit(action: StagedControl.(Pass) -> Unit) {
        actions += { pass -> control.action(pass) }
    }

    /** The reply to [command], which is handled in the next pass. */
    fun replyTo(command: StagedCommand): StagedReply? {
        var reply: StagedReply? = null
        submit { pass -> extension.handle(pass, command) { reply = it } }
        runPasses(1)
        return reply
    }

    /** Configures [next] in the next pass. */
    fun configure(next: QueueConfiguration) {
        submit { pass -> configure(pass, next) {} }
        runPasses(1)
    }

    fun query(query: StagedQuery): StagedReply = control.extension.answer(state, query)

    fun runPasses(count: Int) = repeat(count) {
        nowMs += PASS_MS
        val pass = Pass(state, softState(state, nowMs, ControlSettings()), nowMs)
        repeat(actions.size) { actions.removeFirst()(pass) }
        control.extension.decide(pass)
        state = pass.state
        pass.effects.forEach { it() }
    }
}
