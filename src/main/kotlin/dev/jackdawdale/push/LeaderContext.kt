package dev.jackdawdale.push

import dev.jackdawdale.control.Pass
import dev.jackdawdale.model.HostId
import dev.jackdawdale.placement.expectedGain
import dev.jackdawdale.placement.neverWait
import dev.jackdawdale.staged.RunPlacement
import dev.jackdawdale.staged.RunResult
import dev.jackdawdale.staged.StageTaskId
import dev.jackdawdale.staged.StagedEvent
import dev.jackdawdale.staged.job
import dev.jackdawdale.staged.rack
import dev.jackdawdale.telemetry.DecisionLog
import dev.jackdawdale.telemetry.PassDurations

/**
 * External dependencies of the leader. All but [submit] are called on the control thread.
 *
 * @property submit runs an action in the next pass while this replica leads; any thread
 * @property quorumHeardMs when a quorum last responded, on [clock]
 * @property clock this host's clock; may be behind the time of passes
 * @property adviceHosts entry hosts that can ask the adviser
 * @property passDurations durations of the passes of the control loop
 * @property meters metrics of staged jobs
 */
internal class LeaderDependencies(
    val calls: WorkerClient,
    val submit: (action: (Pass) -> Unit) -> Unit,
    val quorumHeardMs: () -> Long,
    val clock: () -> Long,
    val adviceHosts: () -> Set<HostId>,
    val askAdvice: (AdviceCall) -> Boolean,
    val passDurations: PassDurations = PassDurations(),
    val meters: PushMeters = PushMeters()
)

/**
 * State shared by the parts of a leader. Used on the control thread only.
 *
 * @param nowMs time of passes when the term begins
 * @param emit adds an event to the pass; ends of runs go through [endRun]
 */
internal class LeaderContext(
    val term: Long,
    val settings: PushSettings,
    val dependencies: LeaderDependencies,
    val decisions: DecisionLog,
    nowMs: Long,
    val emit: (Pass, StagedEvent) -> Unit,
    val endRun: (Pass, StagedEvent.RunEnded, EndEvidence) -> Unit
) {
    private var retired = false
    val fencingTokens = FencingTokens(term)

    /** Added to this host's clock, which may be behind the time of the log's last batch. */
    private val clockOffsetMs = maxOf(0, nowMs - dependencies.clock())

    /** Known workers by id. */
    val links = HashMap<String, WorkerLink>()
    val advice = AdviceScheduler((term shl CALL_ID_BITS) + 1, dependencies.askAdvice)
    val timing = ReportTiming(settings)
    val drain = DrainRates(nowMs)
    val failing = FailingSteps(decisions)
    val speeds = WorkerSpeeds()
    val places = PlaceWaits(
        settings.remoteFactor,
        if (settings.localityWait) expectedGain else neverWait
    ) { stepId, text -> decisions.line(nowMs(), stepId.jobId, text = text) }

    /** Runs [action] in the next pass, or drops it if this leader has retired by then. */
    fun submit(action: (Pass) -> Unit) = dependencies.submit { pass -> if (!retired) action(pass) }

    /** Drops later results: this process may lead again while calls of this term are in flight. */
    fun retire() {
        retired = true
    }

    /** Current time on the clock of passes, which is never behind the log. */
    fun nowMs(): Long = dependencies.clock() + clockOffsetMs

    /** False without recent contact with a quorum: another leader may have been elected. */
    fun maySendOrders(): Boolean =
        dependencies.clock() - dependencies.quorumHeardMs() < settings.quorumFreshMs

    fun requestStop(taskId: StageTaskId, placement: RunPlacement) {
        val link = links[placement.workerId] ?: return
        val run = link.runOf(taskId, placement.run) ?: return
        if (!run.stopRequested) link.update(run.copy(stopRequested = true))
    }

    /** Whether the step would be late on a worker because of its speed or its distance. */
    fun isTooSlow(link: WorkerLink, step: ReadyStep, nowMs: Long, ticketed: Boolean): Boolean {
        val remoteFactor = places.remoteFactor(step.spec, link.worker.labels)
        if (speeds.alike && remoteFactor == 1.0) return false
        val speed = link.speed.current.factor / remoteFactor
        return speed < step.neededSpeed(nowMs, speeds.fastest, ticketed)
    }

    /** Records for steps that wait for a rack that the task's run is about to free capacity. */
    fun recordFreed(link: WorkerLink, taskId: StageTaskId, nowMs: Long) {
        if (!places.isActive) return
        val freed = link.held[taskId]?.reserved ?: return
        places.ends.ended(link.worker.rack, link.worker.workerId, freed, nowMs)
    }

    /** Records the speed of [link] that the end of a run shows; before the run is released. */
    fun recordSpeed(pass: Pass, link: WorkerLink, event: StagedEvent.RunEnded) {
        if (!settings.learnSpeeds || event.result != RunResult.SUCCEEDED) return
        val run = link.runOf(event.taskId, event.run) ?: return
        val started = run.start as? StartState.Confirmed ?: return
        val stepId = event.taskId.stepId
        val spec = pass.state.staged.job(stepId.jobId)?.spec?.steps?.getOrNull(stepId.step)
        // Members of a gang end together, so their times are not those of their worker.
        if (spec == null || spec.gang || run.resumed) return
        val tookMs = pass.nowMs - started.atMs
        val expectedMs = spec.estimatedMs * places.remoteFactor(spec, link.worker.labels)
        speeds.observe(link.speed, event.taskId, expectedMs.toLong(), tookMs, pass.nowMs)
    }

    private companion object {
        /** Low bits of a call id, enough for all calls of one term; the term is above them. */
        const val CALL_ID_BITS = 32
    }
}
