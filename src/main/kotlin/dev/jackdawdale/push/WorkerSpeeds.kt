package dev.jackdawdale.push

import dev.jackdawdale.staged.StageTaskId
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.sign
import kotlin.math.sqrt

/**
 * The speed of a worker, as used for choices.
 *
 * @property factor declared run time divided by the run time to expect
 * @property group workers of one group count as alike; 0 is the group of the typical worker
 */
internal data class WorkerSpeed(val factor: Double = 1.0, val group: Int = 0)

/**
 * Evidence about the speed of one process of a worker: the logarithm of its speed in each of the
 * last jobs of which it had runs. Used on the control thread only.
 */
internal class SpeedEvidence {
    private class Sample(val log: Double, val atMs: Long)

    /** Oldest job first. */
    private val byJob = LinkedHashMap<String, Sample>()

    /** Logarithm of the speed, or null until several jobs show it. */
    var log: Double? = null
        private set

    /** Standard error of [log]. */
    var error = 0.0
        private set
    val jobs: Int get() = byJob.size

    /** The speed to use; updated by [WorkerSpeeds.refresh]. */
    var current = WorkerSpeed()

    /** Sets the speed that the runs of one job show; replaces the earlier figure of that job. */
    fun record(jobId: String, log: Double, nowMs: Long) {
        byJob[jobId] = Sample(log, nowMs)
        if (byJob.size > MAX_JOBS) byJob.remove(byJob.keys.first())
        byJob.values.removeIf { nowMs - it.atMs > MAX_AGE_MS }
        dropContradicted()
        update()
    }

    /** Drops the samples that are older than the last ones if these all contradict them. */
    private fun dropContradicted() {
        val older = byJob.size - AGREEING_JOBS
        if (older < MIN_JOBS) return
        val logs = byJob.values.map { it.log }
        val before = logs.take(older).median()
        val changes = logs.drop(older).map { it - before }
        val agree = changes.all { abs(it) > CHANGE_LOG && it.sign == changes.first().sign }
        if (agree) byJob.keys.take(older).forEach(byJob::remove)
    }

    private fun update() {
        if (byJob.size < MIN_JOBS) {
            log = null
            return
        }
        val logs = byJob.values.map { it.log }
        val median = logs.median()
        val deviation = MAD_TO_SIGMA * logs.map { abs(it - median) }.median()
        log = median
        error = MEDIAN_ERROR * maxOf(deviation, LEAST_DEVIATION) / sqrt(logs.size.toDouble())
    }

    private companion object {
        /** One job's declared times are wrong by half; the median of fewer jobs shows little. */
        const val MIN_JOBS = 4

        /** A busy worker ends some 3 runs a second, so these are the last 8 s or so. */
        const val MAX_JOBS = 24
        const val MAX_AGE_MS = 60_000L

        /** A worker ends runs of this many jobs in two to three seconds. */
        const val AGREEING_JOBS = 5

        /** Above the spread of the runs of one job (15 to 30%). */
        const val CHANGE_LOG = 0.35

        /** Standard deviation of a normal distribution by its median absolute deviation. */
        const val MAD_TO_SIGMA = 1.4826

        /** Standard error of a median relative to that of a mean. */
        const val MEDIAN_ERROR = 1.25

        /** Run times within a step vary by 15% at least. */
        const val LEAST_DEVIATION = 0.1
    }
}

/**
 * Learns the speeds of workers from the run times of their tasks, relative to the declared ones.
 *
 * Answers cells of machines with unequal speed. The declared times of a job are wrong by a common
 * factor. A job that runs on several workers shows that factor by comparison, and the evidence of
 * each worker is corrected by it; the factors of all jobs have a median of 1 by definition. Used on
 * the control thread only.
 */
internal class WorkerSpeeds {
    private val jobs = LinkedHashMap<String, JobRuns>()
    private val recent = ArrayDeque<JobRuns>()

    /** Median of the errors of the last jobs, so that only their differences count as errors. */
    private var commonError = 0.0
    private var level = 0.0

    /** Speed of the fastest known worker, at least 1. */
    var fastest = 1.0
        private set

    /** Whether no worker is known to differ from the others. */
    var alike = true
        private set

    /** Records the time that a run took or, by its progress, is going to take. */
    fun observe(
        worker: SpeedEvidence,
        taskId: StageTaskId,
        estimatedMs: Long,
        tookMs: Long,
        nowMs: Long
    ) {
        if (estimatedMs <= 0 || tookMs <= 0) return
        val jobId = taskId.stepId.jobId
        val job = jobs.getOrPut(jobId) { JobRuns().also(::addRecent) }
        job.runs.getOrPut(worker) { HashMap() }[taskId] = ln(estimatedMs.toDouble() / tookMs)
        job.error = job.errorWithout(null, level)
        // Shrunk towards 0: few other workers show little about the job's error.
        val others = job.runs.size - 1
        val error = if (others == 0) 0.0 else job.errorWithout(worker, level) - commonError
        val own = job.runs.getValue(worker).values.median()
        worker.record(jobId, own + error * others / (others + 1), nowMs)
        if (jobs.size > MAX_KEPT_JOBS) jobs.remove(jobs.keys.first())
    }

    private fun addRecent(job: JobRuns) {
        recent += job
        if (recent.size > RECENT_JOBS) recent.removeFirst()
    }

    /** Whether the end or the progress of the run was recorded. */
    fun isObserved(worker: SpeedEvidence, taskId: StageTaskId): Boolean =
        jobs[taskId.stepId.jobId]?.runs?.get(worker)?.containsKey(taskId) ?: false

    /** Updates the speeds to use for [workers]. */
    fun refresh(workers: Collection<SpeedEvidence>) {
        if (recent.isEmpty()) return
        commonError = recent.map { it.error }.median()
        val known = workers.mapNotNull { it.log }
        level = if (known.isEmpty()) 0.0 else known.median()
        workers.forEach { it.current = speedOf(it) }
        fastest = workers.maxOfOrNull { it.current.factor }?.coerceAtLeast(1.0) ?: 1.0
        alike = workers.all { it.current.group == 0 }
    }

    /** Small and uncertain differences are ignored, so that equal workers remain exactly equal. */
    private fun speedOf(worker: SpeedEvidence): WorkerSpeed {
        // An unknown speed is 1 and is compared without an allowance for its error.
        val difference = (worker.log ?: 0.0) - level
        val uncertain = if (worker.log == null) 0.0 else CERTAINTY * worker.error
        if (abs(difference) <= maxOf(TOLERANCE_LOG, uncertain)) return WorkerSpeed(factor(level))
        val group = (difference / GROUP_LOG).roundToInt()
        return WorkerSpeed(
            factor(level + difference),
            if (group == 0) difference.sign.toInt() else group
        )
    }

    private fun factor(log: Double): Double = exp(log).coerceIn(SLOWEST, FASTEST)

    /** Logarithms of the speeds of the runs of one job by worker. */
    private class JobRuns {
        /** In the order of their first runs: which ones are compared must not vary. */
        val runs = LinkedHashMap<SpeedEvidence, HashMap<StageTaskId, Double>>()

        /** Logarithm of the factor by which the job's tasks take longer than declared. */
        var error = 0.0

        fun errorWithout(worker: SpeedEvidence?, level: Double): Double =
            runs.entries.asSequence().filter { it.key !== worker }.take(MAX_COMPARED)
                .map { (other, logs) -> (other.log ?: level) - logs.values.median() }
                .toList()
                .median()
    }

    private companion object {
        /** Number of jobs within some 20 s at the largest installations. */
        const val MAX_KEPT_JOBS = 2_000
        const val RECENT_JOBS = 128

        /** More don't make the comparison better, and it is made for each end of a run. */
        const val MAX_COMPARED = 15

        /** Differences below a sixth don't decide whether a step is on time. */
        const val TOLERANCE_LOG = 0.15

        /** Differences that are less certain than this, in standard errors, are chance. */
        const val CERTAINTY = 2.5

        /** Workers that differ by less than a third are alike for the choice of the fullest one. */
        const val GROUP_LOG = 0.3

        /** Beyond these, a worker is faulty, not slow or fast. */
        const val SLOWEST = 0.25
        const val FASTEST = 4.0
    }
}

private fun Collection<Double>.median(): Double {
    if (size == 1) return first()
    val sorted = sorted()
    val middle = sorted.size / 2
    return if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
}

/**
 * The lowest speed with which the step ends in time.
 *
 * A step ends with the last of its tasks, so a wide step needs more time than the declared time of
 * one task. A step that is late even on the fastest worker has to end while it is of use at all,
 * which leaves the fast workers to steps that can be on time.
 *
 * @param fastest speed of the fastest worker
 * @param ticketed whether the step can start at once, without a call to the adviser
 */
internal fun ReadyStep.neededSpeed(nowMs: Long, fastest: Double, ticketed: Boolean): Double {
    val adviceMs = if (ticketed) {
        job.terms.advice?.let { adviceCallMs(it, WORKERS_PER_ADVICE_CALL).toLong() } ?: 0
    } else {
        0
    }
    val runMs = spec.expectedMs
    val onTimeMs = latestStartMs + runMs + adviceMs - nowMs
    val isReachable = onTimeMs * fastest >= runMs
    val limitMs = if (isReachable) onTimeMs else worthlessAfterMs + runMs + adviceMs - nowMs
    if (limitMs <= 0) return 0.0
    return ESTIMATE_MARGIN * runMs * slowestOf(step.tasks.size) / limitMs
}

/** Expected run time of the slowest of [tasks] equal tasks, as a multiple of the declared time. */
private fun slowestOf(tasks: Int): Double = 1 + RUN_SPREAD * sqrt(2 * ln(tasks.toDouble()))

/** Declared times are wrong by a fifth to a half, and speeds are known to a tenth. */
private const val ESTIMATE_MARGIN = 1.3

/** Standard deviation of the run times within a step; measured ones are 15 to 30%. */
private const val RUN_SPREAD = 0.2
