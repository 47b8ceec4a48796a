package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.HostId
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.telemetry.DecisionLog
import dev.jackdawdale.telemetry.PassCost

/**
 * What the leader needs of its surroundings. All but [submit] are called on the control thread.
 *
 * @property submit decides an action in the next pass while this replica leads; any thread
 * @property quorumHeardMs when a quorum was heard last, on [clock]
 * @property clock this host's clock; it may be behind the time of passes
 * @property callingHosts entry hosts that can ask the adviser
 * @property passCost what the passes of the control loop cost
 * @property meters what the metrics page shows of staged jobs
 */
internal class LeaderSurroundings(
    val calls: WorkerCalls,
    val submit: (action: (Pass) -> Unit) -> Unit,
    val quorumHeardMs: () -> Long,
    val clock: () -> Long,
    val callingHosts: () -> Set<HostId>,
    val askAdvice: (AdviceCall) -> Boolean,
    val passCost: PassCost = PassCost(),
    val meters: PushMeters = PushMeters()
)

/**
 * What the parts of a leader share. Used on the control thread only.
 *
 * @param nowMs time of passes when the leader begins
 */
internal class LeaderContext(
    val term: Long,
    val settings: PushSettings,
    val around: LeaderSurroundings,
    val decisions: DecisionLog,
    nowMs: Long,
    val emit: (Pass, StagedEvent) -> Unit
) {
    private var retired = false

    /** A host whose clock is behind the log's last batch leads with a later time. */
    private val aheadMs = maxOf(0, nowMs - around.clock())

    /** The workers that this leader knows, by id. */
    val links = HashMap<String, WorkerLink>()
    val desk = AdviceDesk((term shl CALL_ID_BITS) + 1, around.askAdvice)
    val timing = ReportTiming(settings)

    /** Decides [action] in the next pass; it is dropped when this leader has retired by then. */
    fun submit(action: (Pass) -> Unit) = around.submit { pass -> if (!retired) action(pass) }

    /** The process may lead again while calls of this leader are under way. */
    fun retire() {
        retired = true
    }

    /** The time of passes, also between them. */
    fun nowMs(): Long = around.clock() + aheadMs

    /** Only a leader that heard a quorum lately may give orders: another one may have begun. */
    fun mayOrder(): Boolean = around.clock() - around.quorumHeardMs() < settings.quorumFreshMs

    fun wantStop(taskId: StageTaskId, placement: RunPlacement) {
        val link = links[placement.workerId] ?: return
        val run = link.runOf(taskId, placement.run) ?: return
        if (!run.stopWanted) link.update(run.copy(stopWanted = true))
    }

    private companion object {
        /** A leader makes fewer calls than this many bits count. */
        const val CALL_ID_BITS = 32
    }
}
