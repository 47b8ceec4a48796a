package dev.jackdawdale.push

import dev.jackdawdale.staged.StagedEvent
import kotlin.random.Random

private const val FAULTS_MS = 60_000L
private const val RECOVERY_MS = 300_000L
private const val WORKERS = 3
private const val LEADER_CHANGE_EVERY_MS = 20_000L
private const val MAX_LATE_MS = 12_000L
private const val MAX_SLOW_SHARE = 0.02

/**
 * A random sequence of restarts under old ids, cuts, calls without an answer and leader changes;
 * the same seed gives the same sequence.
 *
 * @param lateReachUnknown as for [RestartedWorkers]; no token can refuse such a call
 */
internal class RandomRestarts(seed: Long, lateReachUnknown: Boolean = true) {
    private val random = Random(seed)
    private val cell = RestartedWorkers(
        WORKERS,
        randomJobs(),
        LifeRules(
            maxHoldMs = if (random.nextBoolean()) 6_000 else 10_000,
            cursorPersists = random.nextBoolean(),
            stopMs = { random.nextLong(0, 200) }
        ),
        clockOf = ::randomClock,
        registrationDelayMs = ::randomRegistrationDelay,
        lateReachUnknown = lateReachUnknown,
        fateOf = ::randomFate
    )
    private var faulty = true

    /** Share of calls of each kind that get no answer. */
    private val unansweredShare = HashMap<CallKind, Double>()

    /** Runs the sequence, and then until all jobs have completed without faults. */
    fun run() {
        every(1_000L..8_000L) { startOver() }
        every(2_000L..10_000L) { loseAnswers() }
        if (random.nextBoolean()) {
            every(LEADER_CHANGE_EVERY_MS / 10..LEADER_CHANGE_EVERY_MS * 2) { changeLeader() }
        }
        cell.advance(FAULTS_MS)
        faulty = false
        cell.history.log("the faults end")
        cell.advance(RECOVERY_MS) { cell.unfinished.isEmpty() }
        cell.unfinished.firstOrNull()?.let { jobId ->
            cell.history.fail("job $jobId has not completed") { it.stepId.jobId == jobId }
        }
    }

    /** Chains of short tasks, of long ones, and of both. */
    private fun randomJobs(): List<StagedEvent.JobAccepted> = List(8) { number ->
        val shortShare = listOf(1.0, 0.0, 0.5)[number % 3]
        val steps = List(random.nextInt(2, 20)) {
            val runMs = if (random.nextDouble() < shortShare) {
                random.nextLong(300, 1_500)
            } else {
                random.nextLong(5_000, 60_000)
            }
            random.nextInt(1, 3) to runMs
        }
        val longRuns = steps.count { it.second >= 5_000 }
        chain("job$number", if (longRuns > 3) steps.take(3) else steps)
    }

    private fun randomClock(life: Int) = LifeClock(
        startMs = if (life == 1) 500_000 else random.nextLong(0, 50),
        slowShare = random.nextDouble(MAX_SLOW_SHARE)
    )

    private fun every(intervalMs: LongRange, action: () -> Unit) {
        cell.time.after(random.nextLong(intervalMs.first, intervalMs.last)) {
            if (faulty) {
                action()
                every(intervalMs, action)
            }
        }
    }

    /** Restarts some workers, once or several times in a row, and cuts them off soon after. */
    private fun startOver() {
        val chosen = cell.workers.filter { random.nextInt(3) > 0 }
        val times = if (random.nextInt(3) == 0) random.nextInt(2, 5) else 1
        chosen.forEach { restart(it, times) }
        if (random.nextInt(3) == 0) {
            cell.time.after(random.nextLong(0, 1_000)) { changeLeader() }
        }
    }

    private fun restart(worker: RestartedWorkers.RestartingWorker, times: Int) {
        worker.refusesCalls = random.nextBoolean()
        val silentMs = if (random.nextInt(4) == 0) 0 else random.nextLong(0, 600)
        cell.restart(worker, silentMs)
        val again = silentMs + random.nextLong(20, 2_000)
        if (times > 1) {
            cell.time.after(again) { restart(worker, times - 1) }
        } else if (random.nextInt(4) > 0) {
            cell.time.after(silentMs + random.nextLong(0, 3_000)) {
                if (!worker.isCut) cell.cut(worker, random.nextLong(4_000, 9_000))
            }
        }
    }

    private fun loseAnswers() {
        val kinds = CallKind.entries.filter { random.nextBoolean() }
        val share = random.nextDouble(0.5)
        kinds.forEach { unansweredShare[it] = share }
        cell.time.after(random.nextLong(500, 6_000)) { unansweredShare.clear() }
    }

    private fun changeLeader() {
        cell.loseLeadership()
        cell.time.after(random.nextLong(0, 1_500)) { cell.changeLeader() }
    }

    private fun randomRegistrationDelay() =
        if (faulty && random.nextInt(10) == 0) random.nextLong(0, 3_000) else random.nextLong(1, 20)

    private fun randomFate(kind: CallKind, worker: RestartedWorkers.RestartingWorker): CallFate {
        if (worker.isCut) return CallFate.Dropped
        val share = maxOf(unansweredShare[kind] ?: 0.0, 0.005)
        if (!faulty || random.nextDouble() >= share) return CallFate.Answered
        return when (random.nextInt(4)) {
            0 -> CallFate.Unanswered(random.nextLong(0, 20))
            1 -> CallFate.Unanswered(random.nextLong(0, MAX_LATE_MS))
            2 -> CallFate.Unanswered(random.nextLong(0, 1_000))
            else -> CallFate.Dropped
        }
    }
}
