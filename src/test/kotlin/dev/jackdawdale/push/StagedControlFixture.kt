package dev.jackdawdale.push

import dev.jackdawdale.control.ControlSettings
import dev.jackdawdale.control.Pass
import dev.jackdawdale.control.softState
import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.EventBatch
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.apply
import dev.jackdawdale.staged.StagedEvent

private const val PASS_MS = 20L

/**
 * The staged jobs of a process that can become leader and lose leadership, starting from the state
 * after [events]. Its worker reports no runs. The test runs the passes and answers start orders.
 */
internal class StagedControlFixture(
    events: List<StagedEvent>,
    adviceHosts: Set<HostId> = emptySet()
) {
    val starts = ArrayList<StartOrder>()
    val startResults = ArrayList<(StartResult) -> Unit>()
    val adviceCalls = ArrayList<AdviceCall>()
    private var nowMs = 100_000L
    private var state = CellState().apply(EventBatch(nowMs, events.map { Event.Staged(it) })).state
    private val actions = ArrayDeque<(Pass) -> Unit>()
    private val control = StagedControl(
        PushSettings(),
        LeaderDependencies(
            WorkerClient(
                start = { _, order, onResult ->
                    starts += order
                    startResults += onResult
                },
                stop = { _, _, _, _, _ -> },
                report = { _, _, onResult ->
                    val report = RunReport(1, nowMs, emptyList(), emptyList())
                    onResult(ReportResult.Reported(report))
                }
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

    fun runPasses(count: Int) = repeat(count) {
        nowMs += PASS_MS
        val pass = Pass(state, softState(state, nowMs, ControlSettings()), nowMs)
        repeat(actions.size) { actions.removeFirst()(pass) }
        control.extension.decide(pass)
        state = pass.state
        pass.effects.forEach { it() }
    }
}
