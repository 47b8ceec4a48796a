package dev.jackdawdale.push

import dev.jackdawdale.staged.StageTaskId

private const val TRACE_LINES = 120

/** Raised with a trace when the workers did what must not happen. */
internal class ForbiddenRun(message: String) : AssertionError(message)

/** What the simulated workers did; fails as soon as a task runs twice. */
internal class RunHistory(private val nowMs: () -> Long) {
    private class Line(val taskId: StageTaskId?, val text: String)

    private class Started(
        val life: SimulatedLife,
        val run: Int,
        val atMs: Long,
        val origin: CallOrigin
    ) {
        var ended = false

        fun describe(): String {
            val foreign = if (origin.boot != life.boot) ", order by ${origin.text}" else ""
            val lease = life.foreignLease?.let { ", lease by ${it.text}" }.orEmpty()
            return "run $run on ${life.name}$foreign$lease"
        }
    }

    private val lines = ArrayList<Line>()
    private val starts = HashMap<StageTaskId, MutableList<Started>>()
    private val noted = HashMap<StageTaskId, String>()

    /** Number of runs that have started, and of those that have ended as done. */
    var startedRuns = 0
        private set
    var doneRuns = 0
        private set

    /** Adds a line to the trace of a task, or of all tasks. */
    fun log(text: String, taskId: StageTaskId? = null) {
        lines += Line(taskId, "%8d %s".format(nowMs(), text))
    }

    fun started(life: SimulatedLife, taskId: StageTaskId, run: Int, origin: CallOrigin) {
        log("${life.name} starts run $run, ordered by ${origin.text}", taskId)
        val earlier = starts.getOrPut(taskId) { ArrayList() }
        val beside = earlier.lastOrNull { !it.ended && it.life.isUp }
        val started = Started(life, run, nowMs(), origin)
        earlier += started
        startedRuns++
        if (beside != null) {
            fail(taskId, "two runs at the same time: ${beside.describe()}; ${started.describe()}")
        }
        noted[taskId]?.let { fail(taskId, "${started.describe()} after $it") }
    }

    fun ended(life: SimulatedLife, taskId: StageTaskId, run: Int, how: ListedEnd) {
        log("${life.name} ends run $run: $how", taskId)
        if (how == ListedEnd.DONE) doneRuns++
        close(life, taskId)
    }

    /** The run ended with its process. */
    fun vanished(life: SimulatedLife, taskId: StageTaskId) = close(life, taskId)

    /** The end of a run as done was taken note of, by the call [origin]. */
    fun doneNoted(
        life: SimulatedLife,
        taskId: StageTaskId,
        run: Int,
        endedMs: Long,
        origin: CallOrigin
    ) {
        val foreign = if (origin.boot != life.boot) ", cursor by ${origin.text}" else ""
        val ended = starts[taskId].orEmpty().first { it.life === life && it.run == run }
        val text = "the noted end as done of ${ended.describe()}$foreign"
        log("${life.name} forgets the end of run $run, acknowledged by ${origin.text}", taskId)
        noted.putIfAbsent(taskId, text)
        val later = starts[taskId].orEmpty().firstOrNull { it.atMs > endedMs }
        if (later != null) fail(taskId, "${later.describe()} after $text")
    }

    private fun close(life: SimulatedLife, taskId: StageTaskId) =
        starts[taskId].orEmpty().filter { it.life === life }.forEach { it.ended = true }

    private fun fail(taskId: StageTaskId, problem: String): Nothing =
        fail("$taskId: $problem") { it == taskId }

    /** Fails with a trace of the tasks that [concerns] selects. */
    fun fail(problem: String, concerns: (StageTaskId) -> Boolean): Nothing {
        val trace = lines.filter { it.taskId == null || concerns(it.taskId) }.takeLast(TRACE_LINES)
        throw ForbiddenRun("$problem\n" + trace.joinToString("\n") { it.text })
    }
}
