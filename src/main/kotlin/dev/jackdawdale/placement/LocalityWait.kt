package dev.jackdawdale.placement

/**
 * Tasks that have no free place near their data or group.
 *
 * @property tasks number of these tasks, or 1 for a gang, which waits as a whole
 * @property runMs expected run time in the preferred place
 * @property remoteFactor multiple of [runMs] that a run takes in any other place
 * @property slackMs time until the latest start, in the preferred place, with which the job is on
 *   time; negative for a late job
 * @property waitedMs how long the step has waited for its place so far
 * @property expectedMs expected time until the given number of tasks has room in the place, or null
 *   when there is no sign that it will
 */
internal class LocalityWait(
    val tasks: Int,
    val runMs: Long,
    val remoteFactor: Double,
    val slackMs: Long,
    val waitedMs: Long,
    val expectedMs: (tasks: Int) -> Long?
)

/**
 * What to do with the tasks of a [LocalityWait].
 *
 * @property waiting number of tasks that wait; the others start elsewhere now
 * @property forMs expected wait of the last of them; the decision is taken anew in each pass
 */
internal data class LocalityDecision(val waiting: Int, val forMs: Long = 0)

/** Decides how many tasks wait for their place. */
internal typealias LocalityPolicy = (LocalityWait) -> LocalityDecision

internal val neverWait: LocalityPolicy = { LocalityDecision(0) }
internal val alwaysWait: LocalityPolicy = { LocalityDecision(it.tasks) }

/**
 * Lets tasks wait while that is expected to end them sooner than a start elsewhere.
 *
 * Answers racks that are full while others have room. A step never waits for longer in all than the
 * slowdown elsewhere, so that it takes at most twice the slowdown when each expectation is wrong;
 * unless only the wait can bring the job in on time.
 */
internal val expectedGain: LocalityPolicy = { wait ->
    var decision = LocalityDecision(0)
    for (tasks in 1..wait.tasks) {
        val forMs = wait.expectedMs(tasks)?.takeIf { wait.isWorth(it) } ?: break
        decision = LocalityDecision(tasks, forMs)
    }
    decision
}

private fun LocalityWait.isWorth(forMs: Long): Boolean {
    val slowdownMs = (runMs * (remoteFactor - 1)).toLong()
    val isSooner = waitedMs + forMs < slowdownMs
    val remoteSlackMs = slackMs - slowdownMs
    val errorMs = (ESTIMATE_ERROR * runMs * remoteFactor).toLong()
    return when {
        slowdownMs <= 0 -> false
        // A start elsewhere is too late, so the wait is the only way to be on time.
        remoteSlackMs < 0 && forMs <= slackMs -> true
        remoteSlackMs < 0 -> isSooner
        // After the wait, a start elsewhere would be too late if the place isn't free then.
        forMs > remoteSlackMs - errorMs -> isSooner && forMs * LATE_WAIT_MARGIN <= slackMs
        else -> isSooner
    }
}

/** Share by which declared run times are too short in a bad case. */
private const val ESTIMATE_ERROR = 0.3

/** Of intervals with an exponential distribution, one in seven is above twice the mean. */
private const val LATE_WAIT_MARGIN = 2
